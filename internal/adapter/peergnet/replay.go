package peergnet

import (
	"time"

	"auburnpier/internal/core/membership"
)

const (
	// windowWords times 64 is the number of counts behind the newest that are
	// still accepted. A store outage makes an instance send one datagram to
	// each other at once, which the network may reorder.
	windowWords = 4
	windowBits  = 64 * windowWords
	// maxSenders is the number of senders from which on idle ones are forgotten.
	maxSenders = 1024
	// senderIdle is the time after which all datagrams of a sender are refused
	// for their age, so that it need not be remembered.
	senderIdle = 2*MaxClockSkew + time.Second
)

// replayFilter accepts each count of an incarnation once.
type replayFilter struct {
	senders map[string]*window
}

// window remembers which of the latest counts of a sender were seen.
type window struct {
	heardAt     time.Time
	incarnation uint64
	newest      uint64
	seen        [windowWords]uint64
}

func newReplayFilter() *replayFilter {
	return &replayFilter{senders: make(map[string]*window)}
}

// accept reports whether the datagram is new, and remembers it.
func (f *replayFilter) accept(m *membership.Message, now time.Time) bool {
	w := f.senders[string(m.From)]
	if w == nil {
		f.forgetIdle(now)
		w = &window{}
		f.senders[string(m.From)] = w
	}
	if m.Digest.Incarnation < w.incarnation {
		return false
	}
	if m.Digest.Incarnation > w.incarnation {
		*w = window{incarnation: m.Digest.Incarnation}
	}
	w.heardAt = now
	return w.accept(m.Digest.Sequence)
}

func (f *replayFilter) forgetIdle(now time.Time) {
	if len(f.senders) < maxSenders {
		return
	}
	for id, w := range f.senders {
		if now.Sub(w.heardAt) > senderIdle {
			delete(f.senders, id)
		}
	}
}

func (w *window) accept(count uint64) bool {
	if count > w.newest {
		w.forget(count)
		w.newest = count
	}
	if w.newest-count >= windowBits {
		return false
	}
	word, bit := count/64%windowWords, uint64(1)<<(count%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// forget clears the bits of the counts between the newest and the next one.
func (w *window) forget(next uint64) {
	if next-w.newest >= windowBits {
		w.seen = [windowWords]uint64{}
		return
	}
	for count := w.newest + 1; count <= next; count++ {
		w.seen[count/64%windowWords] &^= uint64(1) << (count % 64)
	}
}
