package membership

import "hash/fnv"

// hashes caches the hashes of the member list.
type hashes struct {
	stale bool
	known uint32
	view  uint32
}

// knownHash returns the hash of the IDs and incarnations of all instances that
// have neither left nor are proven dead.
func (n *Node) knownHash() uint32 {
	n.rehash()
	return n.hashes.known
}

// viewHash returns a hash that also covers their revisions and states. Suspicions
// and refutations are excluded: they are short-lived and need no synchronization.
func (n *Node) viewHash() uint32 {
	n.rehash()
	return n.hashes.view
}

func (n *Node) rehash() {
	if !n.hashes.stale && n.hashes.known != 0 {
		return
	}
	n.hashes = hashes{}
	if !n.self.state.Departed() {
		n.hashes.add(&n.self.record, false, n.self.acksSuppressed)
	}
	for _, m := range n.members {
		if !m.State.Departed() {
			n.hashes.add(&m.Record, m.State == StateDead, m.AcksSuppressed)
		}
	}
}

// add adds the hashes of a member to the sums, which do not depend on the order.
func (h *hashes) add(r *Record, dead, acksSuppressed bool) {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(r.ID))
	writeUint(sum, r.Incarnation)
	h.known += sum.Sum32()
	writeUint(sum, uint64(r.Revision))
	writeUint(sum, flag(dead)<<1|flag(acksSuppressed))
	h.view += sum.Sum32()
}

func writeUint(w interface{ Write([]byte) (int, error) }, value uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(value >> (8 * i))
	}
	_, _ = w.Write(b[:])
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
