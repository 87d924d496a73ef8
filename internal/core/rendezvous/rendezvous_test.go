package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against an uneven division, such as an instance without keys while others have several,
// and against one that moves most keys when an instance is added.
func TestDivideIsBalancedAndMovesFewKeys(t *testing.T) {
	cases := []struct{ keys, instances, maxMoved int }{
		{4, 3, 3},
		{50, 8, 25},
		{3, 8, 2},
		{200, 40, 80},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d over %d", c.keys, c.instances), func(t *testing.T) {
			var keys []string
			for i := range c.keys {
				keys = append(keys, fmt.Sprintf("backend-%02d", i))
			}
			var instances []string
			for i := range c.instances {
				instances = append(instances, fmt.Sprintf("entry-%d", i))
			}
			before := Divide(keys, instances)
			after := Divide(keys, append(instances, "entry-new"))
			checkBalanced(t, before, c.keys, c.instances)
			checkBalanced(t, after, c.keys, c.instances+1)
			moved := 0
			for _, k := range keys {
				if before[k] != after[k] {
					moved++
				}
			}
			if moved > c.maxMoved {
				t.Fatalf("%d of %d keys moved, want at most %d", moved, c.keys, c.maxMoved)
			}
		})
	}
}

func checkBalanced(t *testing.T, chosen map[string]string, keys, instances int) {
	t.Helper()
	if len(chosen) != keys {
		t.Fatalf("%d of %d keys are assigned to an instance", len(chosen), keys)
	}
	load := make(map[string]int)
	for _, id := range chosen {
		load[id]++
	}
	minKeys, maxKeys := keys/instances, (keys+instances-1)/instances
	if minKeys > 0 && len(load) != instances {
		t.Fatalf("%d of %d instances have keys", len(load), instances)
	}
	for id, n := range load {
		if n < minKeys || n > maxKeys {
			t.Fatalf("%s has %d keys, want %d to %d", id, n, minKeys, maxKeys)
		}
	}
}

// Guards against a hash that spreads keys unevenly, and against moving keys of the remaining
// instances when one is removed.
func TestChooseSpreadsKeysAndMovesFew(t *testing.T) {
	names := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	counts := make(map[string]int)
	for i := range 4000 {
		key := fmt.Sprintf("backend-%d", i)
		before := Choose(key, names)
		counts[before]++
		if after := Choose(key, names[1:]); after != before && before != names[0] {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
	}
	for name, n := range counts {
		if n < 400 || n > 600 {
			t.Errorf("%s has %d of 4000 keys, want 400 to 600", name, n)
		}
	}
	if Choose("b", nil) != "" {
		t.Error("Choose returned an instance from an empty list")
	}
}
