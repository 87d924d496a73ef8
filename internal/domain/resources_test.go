package domain

import "testing"

// Guards against a dominant share that ignores the scarcest component or
// divides by a component of which there is none.
func TestDominantShare(t *testing.T) {
	total := Resources{CPUMilli: 1000, MemoryMB: 4000}
	cases := []struct {
		name string
		r    Resources
		want float64
	}{
		{"processor dominates", Resources{CPUMilli: 500, MemoryMB: 1000}, 0.5},
		{"memory dominates", Resources{CPUMilli: 100, MemoryMB: 3000}, 0.75},
		{"component without total is ignored", Resources{Accelerators: 4}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.r.DominantShare(total); got != c.want {
				t.Fatalf("dominant share is %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a fit check that does not compare all components.
func TestFits(t *testing.T) {
	capacity := Resources{CPUMilli: 1000, MemoryMB: 1000, Accelerators: 1}
	cases := []struct {
		name string
		r    Resources
		want bool
	}{
		{"exact", capacity, true},
		{"processor too large", Resources{CPUMilli: 1001}, false},
		{"memory too large", Resources{MemoryMB: 1001}, false},
		{"accelerators too many", Resources{Accelerators: 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.r.Fits(capacity); got != c.want {
				t.Fatalf("fits is %v, want %v", got, c.want)
			}
		})
	}
}
