package taskplane

import (
	"sort"

	"auburnpier/internal/domain"
)

// Divide gives each key one instance. No instance gets more than the average,
// rounded up. The pairs with the highest hash come first, so that a change of
// one instance moves few keys of the others.
func Divide(keys []string, instances []domain.InstanceID) map[string]domain.InstanceID {
	type pair struct {
		key      string
		instance domain.InstanceID
		score    uint64
	}
	if len(instances) == 0 {
		return nil
	}
	pairs := make([]pair, 0, len(keys)*len(instances))
	for _, k := range keys {
		for _, id := range instances {
			pairs = append(pairs, pair{k, id, rendezvous(k, string(id))})
		}
	}
	sort.Slice(pairs, func(i, j int) bool {
		a, b := pairs[i], pairs[j]
		if a.score != b.score {
			return a.score > b.score
		}
		return a.key+string(a.instance) < b.key+string(b.instance)
	})
	most := (len(keys) + len(instances) - 1) / len(instances)
	load := make(map[domain.InstanceID]int)
	chosen := make(map[string]domain.InstanceID, len(keys))
	for _, p := range pairs {
		if _, done := chosen[p.key]; done || load[p.instance] >= most {
			continue
		}
		chosen[p.key] = p.instance
		load[p.instance]++
	}
	return chosen
}
