// Package journal stores the records of one partition in the platform's store: a ring of groups
// written by compare-and-swap, and snapshots that cover the groups which the ring overwrites. The
// sequence of groups also fences former owners: each group number can be written only once, so the
// next write of a former owner conflicts with the takeover group of its successor.
package journal

import (
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// Limits of the layout in the store.
const (
	// RingSlots is the number of groups in the ring.
	RingSlots = 256
	// MaxChunkBytes is the maximum size of a snapshot chunk.
	MaxChunkBytes = 512 << 10
	// maxChunks limits a snapshot to 512 MB, so that a corrupt manifest cannot cause an unbounded
	// allocation.
	maxChunks = 1024
	// MaxGroupBytes is the maximum total size of the records of a group. The store accepts values of
	// up to 1 MB; the rest is left for the other fields of the group.
	MaxGroupBytes = 900 << 10
)

// Group is the value of one ring slot: records that become durable together.
type Group struct {
	Epoch  domain.Epoch `cbor:"1,keyasint"`
	Number uint64       `cbor:"2,keyasint"`
	// ID is unique, so that a write whose response was lost can be recognized when the slot is read.
	ID string `cbor:"3,keyasint"`
	// Owner is set only in a takeover group, which starts an epoch.
	Owner   domain.InstanceID `cbor:"4,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Takeover reports whether the group starts an epoch.
func (g *Group) Takeover() bool { return g.Owner != "" }

// manifest describes the current snapshot. It is written after all chunks of the snapshot.
type manifest struct {
	Epoch domain.Epoch `cbor:"1,keyasint"`
	// Generation is the number of the snapshot. Modulo 2 it selects one of two sets of chunk keys.
	Generation uint64 `cbor:"2,keyasint"`
	// Covered is the number of the last group that the snapshot includes.
	Covered  uint64 `cbor:"3,keyasint"`
	Chunks   int    `cbor:"4,keyasint"`
	Length   int    `cbor:"5,keyasint"`
	Checksum uint32 `cbor:"6,keyasint"`
}

func checksum(b []byte) uint32 {
	return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli))
}

func ringPrefix(p domain.PartitionID) string { return fmt.Sprintf("journal/%s/", p) }

func slotKey(p domain.PartitionID, slot uint64) string {
	return fmt.Sprintf("journal/%s/%03d", p, slot)
}

func snapshotPrefix(p domain.PartitionID) string { return fmt.Sprintf("snapshot/%s/", p) }

func manifestKey(p domain.PartitionID) string { return fmt.Sprintf("snapshot/%s/manifest", p) }

func chunkKey(p domain.PartitionID, generation uint64, i int) string {
	return fmt.Sprintf("snapshot/%s/%d/%03d", p, generation%2, i)
}
