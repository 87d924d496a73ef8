package allot

import (
	"math/bits"
	"sort"
)

// Entitlements divides the limit by demand: each holder is entitled to its demand if the
// demands fit the limit together, else to a part of the limit in proportion to its
// demand. The parts are integers that add up to at most the limit.
func Entitlements(limit Vector, demand map[string]Vector) map[string]Vector {
	names := holderNames(demand)
	out := make(map[string]Vector, len(names))
	for c := range components {
		parts := divide(limit[c], names, demand, c)
		for i, name := range names {
			v := out[name]
			v[c] = parts[i]
			out[name] = v
		}
	}
	return out
}

// divide divides component c by the largest-remainder method: what is left after
// rounding down goes to the holders with the largest fractions, ties by name.
func divide(limit int64, names []string, demand map[string]Vector, c int) []int64 {
	parts := make([]int64, len(names))
	var sum int64
	for i, name := range names {
		parts[i] = max(demand[name][c], 0)
		sum += parts[i]
	}
	if sum <= limit {
		return parts
	}
	fractions := make([]uint64, len(names))
	remaining := limit
	for i := range parts {
		// The product may exceed 64 bits: the memory of a fleet is up to 10^12 MB.
		high, low := bits.Mul64(uint64(limit), uint64(parts[i]))
		quotient, remainder := bits.Div64(high, low, uint64(sum))
		parts[i] = int64(quotient)
		fractions[i] = remainder
		remaining -= parts[i]
	}
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return fractions[order[a]] > fractions[order[b]] })
	for _, i := range order[:remaining] {
		parts[i]++
	}
	return parts
}

// Contended reports whether the demands exceed the limit in any component.
func (it Item) Contended() bool {
	var sum Vector
	for _, v := range it.Demand {
		sum = sum.Add(v)
	}
	return !sum.AtMost(it.Limit)
}
