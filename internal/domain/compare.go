package domain

// CompareBools orders false before true, as cmp.Compare orders zero before one.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
