// Package journal keeps the records of one partition in the platform's store:
// a ring of groups written by compare-and-swap, and snapshots that cover the
// groups which the ring overwrites. The chain of groups is the fence between
// owners: each number is written once, so a former owner's next write
// conflicts with its successor's takeover group.
package journal

import (
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// Sizes of the layout in the store.
const (
	// RingSlots is the number of groups that the ring holds.
	RingSlots = 256
	// MaxChunkBytes bounds one chunk of a snapshot.
	MaxChunkBytes = 512 << 10
	// maxChunks bounds a snapshot to 512 MB, so that a damaged manifest cannot
	// ask for any amount of memory.
	maxChunks = 1024
	// MaxGroupBytes bounds the records of one group. The store holds values up
	// to 1 MB; the rest is room for the group's own fields.
	MaxGroupBytes = 900 << 10
)

// Group is one value of the ring.
type Group struct {
	Epoch  domain.Epoch `cbor:"1,keyasint"`
	Number uint64       `cbor:"2,keyasint"`
	// ID is unique, so that a write whose answer was lost is recognized when it is read back.
	ID string `cbor:"3,keyasint"`
	// Owner is set in the group that starts an epoch.
	Owner   domain.InstanceID `cbor:"4,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Takeover reports whether the group starts an epoch.
func (g *Group) Takeover() bool { return g.Owner != "" }

// manifest describes the snapshot in force. Its key is rewritten last.
type manifest struct {
	Epoch domain.Epoch `cbor:"1,keyasint"`
	// Generation chooses the chunk keys: generation modulo 2.
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
