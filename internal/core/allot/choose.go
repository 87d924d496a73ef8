package allot

import "hash/fnv"

// Chosen returns the instance that is to hold the backend server's slots, by
// rendezvous hashing: when an instance comes or goes, only the servers that it
// wins or held move. It returns "" without instances.
func Chosen(server string, instances []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range instances {
		score := rendezvous(server, name)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// rendezvous mixes the hash once more, because FNV leaves the high bits of
// names that differ in their last byte close together.
func rendezvous(server, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
