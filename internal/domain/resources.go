// Package domain defines the types that all other packages share: resources,
// teams, queues, jobs, attempts, workers, backend servers and the
// configuration document. It contains only arithmetic and validation.
package domain

// Resources is an amount of worker resources. The zero value is empty.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli" cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes (10^6 bytes).
	MemoryMB int64 `json:"memory_mb" cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. Components of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli - o.CPUMilli,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// Max returns the component-wise maximum of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMilli:     max(r.CPUMilli, o.CPUMilli),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Min returns the component-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPUMilli:     min(r.CPUMilli, o.CPUMilli),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether r is at most capacity in each component.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPUMilli <= capacity.CPUMilli &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether all components of r are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any component of r is negative.
func (r Resources) IsNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// DominantShare returns the largest fraction of total that r uses in any
// component. Components that are zero in total are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.CPUMilli, total.CPUMilli)
	share = max(share, fraction(r.MemoryMB, total.MemoryMB))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
