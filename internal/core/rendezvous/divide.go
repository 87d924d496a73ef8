package rendezvous

import "sort"

type pair struct {
	key      string
	instance string
	score    uint64
}

// Divide gives each key one instance, and all instances the same number of
// keys or one more. The pairs with the highest scores come first, so that a
// change of one instance moves few keys of the others.
func Divide(keys, instances []string) map[string]string {
	if len(instances) == 0 {
		return nil
	}
	least := len(keys) / len(instances)
	extra := len(keys) % len(instances) // instances that get one more
	load := make(map[string]int, len(instances))
	chosen := make(map[string]string, len(keys))
	for _, p := range byScore(keys, instances) {
		if _, done := chosen[p.key]; done || load[p.instance] > least || load[p.instance] == least && extra == 0 {
			continue
		}
		if load[p.instance] == least {
			extra--
		}
		chosen[p.key] = p.instance
		load[p.instance]++
	}
	return chosen
}

func byScore(keys, instances []string) []pair {
	pairs := make([]pair, 0, len(keys)*len(instances))
	for _, k := range keys {
		for _, name := range instances {
			pairs = append(pairs, pair{k, name, Score(k, name)})
		}
	}
	sort.Slice(pairs, func(i, j int) bool {
		a, b := pairs[i], pairs[j]
		if a.score != b.score {
			return a.score > b.score
		}
		if a.key != b.key {
			return a.key < b.key
		}
		return a.instance < b.instance
	})
	return pairs
}
