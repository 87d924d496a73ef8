// Package rendezvous assigns keys to instances by rendezvous hashing (highest random weight). With
// Choose, adding or removing an instance moves only the keys that it receives or had.
package rendezvous

import "hash/fnv"

// Choose returns the instance with the highest score for the key, or "" if there are no instances.
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

// Score returns the weight of the pair. Names that differ only in their last byte have FNV hashes
// with similar high bits, so the hash is passed through the 64-bit finalizer of MurmurHash3.
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
