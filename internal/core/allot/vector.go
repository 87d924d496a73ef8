package allot

import "auburnpier/internal/domain"

// components is the number of components of an amount.
const components = 3

// Vector is an amount. Requests and slots use the first component only. Task
// resources use thousandths of a processor, megabytes of memory and accelerators.
type Vector [components]int64

// Units returns an amount of requests or slots.
func Units(n int64) Vector { return Vector{n} }

// FromResources returns an amount of task resources.
func FromResources(r domain.Resources) Vector {
	return Vector{r.CPUMilli, r.MemoryMB, r.Accelerators}
}

// Resources returns the amount as task resources.
func (v Vector) Resources() domain.Resources {
	return domain.Resources{CPUMilli: v[0], MemoryMB: v[1], Accelerators: v[2]}
}

// Add returns v plus o.
func (v Vector) Add(o Vector) Vector {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

// Sub returns v minus o. Components may become negative.
func (v Vector) Sub(o Vector) Vector {
	for i := range v {
		v[i] -= o[i]
	}
	return v
}

// Min returns the component-wise minimum of v and o.
func (v Vector) Min(o Vector) Vector {
	for i := range v {
		v[i] = min(v[i], o[i])
	}
	return v
}

// Max returns the component-wise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
	return v
}

// Positive returns v with negative components set to zero.
func (v Vector) Positive() Vector { return v.Max(Vector{}) }

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// AtMost reports whether v is at most o in each component.
func (v Vector) AtMost(o Vector) bool {
	for i := range v {
		if v[i] > o[i] {
			return false
		}
	}
	return true
}
