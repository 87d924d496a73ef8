package taskplane

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
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
			var instances []domain.InstanceID
			for i := range c.instances {
				instances = append(instances, domain.InstanceID(fmt.Sprintf("entry-%d", i)))
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

func checkDivision(t *testing.T, chosen map[string]domain.InstanceID, keys, instances int) {
	t.Helper()
	if len(chosen) != keys {
		t.Fatalf("%d of %d keys have an instance", len(chosen), keys)
	}
	load := make(map[domain.InstanceID]int)
	for _, id := range chosen {
		load[id]++
	}
	most := (keys + instances - 1) / instances
	for id, n := range load {
		if n > most {
			t.Fatalf("%s has %d keys, at most %d are allowed", id, n, most)
		}
	}
}
