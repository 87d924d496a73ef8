package peergnet

import (
	"time"

	"auburnpier/internal/core/membership"
)

const (
	// windowWords is the size of the replay window in words of 64 sequence numbers. Older sequence
	// numbers than the window holds are rejected. Newer ones are accepted out of order because a store
	// outage makes an instance send one datagram to every other instance at once, which the network
	// may reorder.
	windowWords = 4
	windowBits  = 64 * windowWords
	// idleRemovalThreshold is the number of known senders from which idle ones are removed.
	idleRemovalThreshold = 1024
	// senderIdleTimeout is the time after which every earlier datagram of a sender is rejected for
	// its send time, so that its window is no longer needed.
	senderIdleTimeout = 2*MaxClockSkew + time.Second
)

// replayFilter accepts each sequence number of a sender's incarnation once.
type replayFilter struct {
	senders map[string]*window
}

// window is a sliding bitmap of the latest sequence numbers received from a sender.
type window struct {
	lastReceivedAt time.Time
	incarnation    uint64
	newest         uint64
	seen           [windowWords]uint64
}

func newReplayFilter() *replayFilter {
	return &replayFilter{senders: make(map[string]*window)}
}

// accept reports whether the datagram is new, and marks its sequence number as received.
func (f *replayFilter) accept(m *membership.Message, now time.Time) bool {
	w := f.senders[string(m.From)]
	if w == nil {
		f.removeIdleSenders(now)
		w = &window{}
		f.senders[string(m.From)] = w
	}
	if m.Digest.Incarnation < w.incarnation {
		return false
	}
	if m.Digest.Incarnation > w.incarnation {
		*w = window{incarnation: m.Digest.Incarnation}
	}
	w.lastReceivedAt = now
	return w.accept(m.Digest.Sequence)
}

func (f *replayFilter) removeIdleSenders(now time.Time) {
	if len(f.senders) < idleRemovalThreshold {
		return
	}
	for id, w := range f.senders {
		if now.Sub(w.lastReceivedAt) > senderIdleTimeout {
			delete(f.senders, id)
		}
	}
}

func (w *window) accept(sequence uint64) bool {
	if sequence > w.newest {
		w.clearUpTo(sequence)
		w.newest = sequence
	}
	if w.newest-sequence >= windowBits {
		return false
	}
	word, bit := sequence/64%windowWords, uint64(1)<<(sequence%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// clearUpTo clears the bits of the sequence numbers after the newest, up to and including next.
func (w *window) clearUpTo(next uint64) {
	if next-w.newest >= windowBits {
		w.seen = [windowWords]uint64{}
		return
	}
	for sequence := w.newest + 1; sequence <= next; sequence++ {
		w.seen[sequence/64%windowWords] &^= uint64(1) << (sequence % 64)
	}
}
