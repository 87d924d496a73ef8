package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against an instance without keys while others have several, and
// against a division that moves most keys when one instance is added.
func TestDivide(t *testing.T) {
	cases := []struct{ keys, instances, mostMoved int }{
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
			checkDivision(t, before, c.keys, c.instances)
			checkDivision(t, after, c.keys, c.instances+1)
			moved := 0
			for _, k := range keys {
				if before[k] != after[k] {
					moved++
				}
			}
			if moved > c.mostMoved {
				t.Fatalf("%d of %d keys moved, at most %d may", moved, c.keys, c.mostMoved)
			}
		})
	}
}

func checkDivision(t *testing.T, chosen map[string]string, keys, instances int) {
	t.Helper()
	if len(chosen) != keys {
		t.Fatalf("%d of %d keys have an instance", len(chosen), keys)
	}
	load := make(map[string]int)
	for _, id := range chosen {
		load[id]++
	}
	least, most := keys/instances, (keys+instances-1)/instances
	if least > 0 && len(load) != instances {
		t.Fatalf("%d of %d instances have keys", len(load), instances)
	}
	for id, n := range load {
		if n < least || n > most {
			t.Fatalf("%s has %d keys, %d to %d are allowed", id, n, least, most)
		}
	}
}

// Rendezvous hashing must spread keys evenly and move only those of the
// instance that left.
func TestChoose(t *testing.T) {
	names := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	counts := make(map[string]int)
	for i := range 4000 {
		key := fmt.Sprintf("backend-%d", i)
		was := Choose(key, names)
		counts[was]++
		if now := Choose(key, names[1:]); now != was && was != names[0] {
			t.Fatalf("%s moved from %s to %s", key, was, now)
		}
	}
	for name, n := range counts {
		if n < 400 || n > 600 {
			t.Errorf("%s holds %d of 4000", name, n)
		}
	}
	if Choose("b", nil) != "" {
		t.Error("chosen without instances")
	}
}
