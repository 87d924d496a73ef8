package rendezvous

import "sort"

type pair struct {
	key      string
	instance string
	score    uint64
}

// Divide assigns each key to one instance so that the numbers of keys per instance differ by at most
// one. Pairs of key and instance are assigned in order of descending score, so that few keys move
// between the other instances when one is added or removed.
func Divide(keys, instances []string) map[string]string {
	if len(instances) == 0 {
		return nil
	}
	minKeys := len(keys) / len(instances)
	remainder := len(keys) % len(instances) // number of instances that get one more key than the others
	keyCount := make(map[string]int, len(instances))
	assigned := make(map[string]string, len(keys))
	for _, p := range pairsByScore(keys, instances) {
		if _, done := assigned[p.key]; done || keyCount[p.instance] > minKeys || keyCount[p.instance] == minKeys && remainder == 0 {
			continue
		}
		if keyCount[p.instance] == minKeys {
			remainder--
		}
		assigned[p.key] = p.instance
		keyCount[p.instance]++
	}
	return assigned
}

func pairsByScore(keys, instances []string) []pair {
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
