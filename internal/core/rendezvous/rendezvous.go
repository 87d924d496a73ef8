// Package rendezvous chooses instances for keys by rendezvous hashing: when an
// instance comes or goes, only the keys that it wins or held move.
package rendezvous

import "hash/fnv"

// Choose returns the instance for the key, or "" without instances.
func Choose(key string, instances []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range instances {
		score := Score(key, name)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// Score returns the weight of the pair. FNV leaves the high bits of names that
// differ in their last byte close together, so its sum is mixed once more.
func Score(key, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
