package placement

import (
	"math/bits"
	"slices"
)

// The grid has half-octave buckets in each dimension: 32 cover free capacity
// from below one unit up to 2^15 units, and one machine word marks the
// buckets in use.
const (
	gridBuckets = 32
	// cpuUnitMilli and memoryUnitMB are the upper bounds of the lowest bucket.
	cpuUnitMilli = 128
	memoryUnitMB = 256
)

// grid keeps the slots of workers by free processor time (rows) and free
// memory (columns). Slots in a cell are sorted, so that the content of a cell
// depends on the state of the workers alone and not on how it came about.
type grid struct {
	rows  uint32
	cols  [gridBuckets]uint32
	cells [gridBuckets][][]int32
	// size is the number of workers, and rowSize that of each row.
	size    int
	rowSize [gridBuckets]int
}

// bucketOf returns the bucket of amount. Amounts of a higher bucket are larger
// than all amounts of a lower one.
func bucketOf(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	halves := uint64(amount * 2 / unit)
	exponent := bits.Len64(halves) - 1
	half := int(halves>>(exponent-1)) & 1
	return min(2*exponent-1+half, gridBuckets-1)
}

func (g *grid) add(row, col int, slot int32) {
	if g.cells[row] == nil {
		g.cells[row] = make([][]int32, gridBuckets)
	}
	cell := g.cells[row][col]
	at, _ := slices.BinarySearch(cell, slot)
	g.cells[row][col] = slices.Insert(cell, at, slot)
	g.cols[row] |= 1 << col
	g.rows |= 1 << row
	g.size++
	g.rowSize[row]++
}

func (g *grid) remove(row, col int, slot int32) {
	cell := g.cells[row][col]
	at, ok := slices.BinarySearch(cell, slot)
	if !ok {
		return
	}
	g.cells[row][col] = slices.Delete(cell, at, at+1)
	g.size--
	g.rowSize[row]--
	if len(cell) > 1 {
		return
	}
	g.cols[row] &^= 1 << col
	if g.cols[row] == 0 {
		g.rows &^= 1 << row
	}
}

// from returns the set bits of mask at position low and above.
func from(mask uint32, low int) uint32 {
	return mask &^ (1<<low - 1)
}
