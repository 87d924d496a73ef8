package placement

import (
	"math/bits"
	"slices"
)

// The grid has half-octave buckets in each dimension: 32 of them cover free capacity
// from below one unit up to 2^15 units, and one uint32 marks the buckets in use.
const (
	gridBuckets = 32
	// cpuUnitMilli and memoryUnitMB are the upper bounds of the lowest bucket.
	cpuUnitMilli = 128
	memoryUnitMB = 256
)

// grid indexes the slots of workers by free CPU time (rows) and free memory
// (columns). Slots in a cell are sorted, so that the content of a cell depends only
// on the current state of the workers and not on the order of past changes.
type grid struct {
	rowMask uint32
	colMask [gridBuckets]uint32
	cells   [gridBuckets][][]int32
	// size is the number of workers, and rowSize the number in each row.
	size    int
	rowSize [gridBuckets]int
}

// bucketOf returns the bucket of amount. Every amount in a higher bucket is larger
// than every amount in a lower one.
func bucketOf(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	doubled := uint64(amount * 2 / unit)
	exponent := bits.Len64(doubled) - 1
	half := int(doubled>>(exponent-1)) & 1
	return min(2*exponent-1+half, gridBuckets-1)
}

func (g *grid) add(row, col int, slot int32) {
	if g.cells[row] == nil {
		g.cells[row] = make([][]int32, gridBuckets)
	}
	cell := g.cells[row][col]
	at, _ := slices.BinarySearch(cell, slot)
	g.cells[row][col] = slices.Insert(cell, at, slot)
	g.colMask[row] |= 1 << col
	g.rowMask |= 1 << row
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
	g.colMask[row] &^= 1 << col
	if g.colMask[row] == 0 {
		g.rowMask &^= 1 << row
	}
}

// bitsFrom returns the bits of mask at position lowest and above.
func bitsFrom(mask uint32, lowest int) uint32 {
	return mask &^ (1<<lowest - 1)
}
