package journal

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/metrics"
	"auburnpier/internal/standin/store"
)

// Guards against corrupt stored values that make a takeover panic.
func FuzzTakeOver(f *testing.F) {
	group, _ := cbor.Marshal(Group{Epoch: 3, Number: 7, ID: "x", Owner: "a"})
	snapshot, _ := cbor.Marshal(manifest{Epoch: 3, Generation: 1, Covered: 6, Chunks: 1, Length: 4})
	f.Add(group, snapshot)
	f.Fuzz(func(t *testing.T, group, snapshot []byte) {
		s := store.New()
		for key, value := range map[string][]byte{slotKey(partition, 7): group, manifestKey(partition): snapshot} {
			if _, err := s.CompareAndSwap(t.Context(), key, 0, value); err != nil {
				t.Fatal(err)
			}
		}
		log, _, err := TakeOver(t.Context(), Options{
			Store: s, Partition: partition, Owner: "b", Metrics: metrics.New(), NewID: func() string { return "new" },
		})
		if err == nil && log.Epoch() == 0 {
			t.Fatal("the takeover succeeded with epoch 0")
		}
	})
}
