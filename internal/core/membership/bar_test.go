package membership

import (
	"fmt"
	"testing"
	"time"
)

// authorityBound is the age of the latest acknowledgement at which an instance loses its authority.
const authorityBound = 6 * time.Second

func setAllVouch(w *network) {
	for _, h := range w.hosts {
		h.node.SetConfirmsAuthority(true)
	}
}

// suppressionProblem returns what goes wrong when all other instances of its
// region stop acknowledging the pings of one instance.
func suppressionProblem(t *testing.T, seed uint64, inject func(*network)) string {
	w := newFormedNetwork(t, 8, 2, seed, nil)
	setAllVouch(w)
	w.run(5 * time.Second)
	for _, h := range w.hosts {
		if age := w.now.Sub(h.node.LastRegionAck()); age > authorityBound/2 {
			return fmt.Sprintf("the latest acknowledgement of the region of %s is %s old although pings are acknowledged", h.id, age)
		}
	}
	if inject != nil {
		inject(w)
	}
	holder := w.hosts[1]
	incarnation := holder.node.self.record.Incarnation
	suppressedAt := w.now
	for _, h := range w.hosts {
		if h != holder && h.region == holder.region {
			h.node.SuppressPingAcks(holder.id, incarnation)
		}
	}
	w.run(20 * time.Second)
	if holder.node.LastRegionAck().After(suppressedAt) {
		return "a ping was acknowledged although acknowledgements are suppressed"
	}
	if !holder.node.self.acksSuppressed {
		return "the instance does not know that its pings are not acknowledged"
	}
	if !w.agree() {
		return "suppressed acknowledgements led to a wrong member state: " + w.disagreement()
	}
	w.kill(holder)
	w.start(holder)
	holder.node.SetConfirmsAuthority(true)
	w.run(10 * time.Second)
	if age := w.now.Sub(holder.node.LastRegionAck()); age > authorityBound/2 {
		return fmt.Sprintf("the latest acknowledgement of a new incarnation is %s old", age)
	}
	return ""
}

// Guards against a revoked instance that keeps its authority, and against one
// that suspects the instances that no longer acknowledge its pings.
func TestSuppressedInstanceLosesAuthority(t *testing.T) {
	for seed := range uint64(5) {
		if problem := suppressionProblem(t, seed, nil); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	injections := map[string]func(*Message){
		"pings are still acknowledged": func(m *Message) {
			if m.Kind == KindAckSuppressed {
				m.Kind = KindAck
			}
		},
		"suppressed pings get no response": func(m *Message) {
			if m.Kind == KindAckSuppressed {
				m.Kind = 0
			}
			for i := range m.Updates {
				m.Updates[i].AcksSuppressed = false
			}
		},
		"a new incarnation gets no acknowledgements either": func(m *Message) {
			if m.Kind == KindAck && m.To == "i01" && m.Digest.Incarnation == uint64(epoch.UnixMilli()) {
				m.Kind = KindAckSuppressed
			}
		},
	}
	for name, alter := range injections {
		problem := suppressionProblem(t, 1, func(w *network) { w.alter = alter })
		t.Logf("injected fault: %s: %s", name, problem)
		if problem == "" {
			t.Errorf("injected fault: %s: not detected", name)
		}
	}
}

// Guards against authority derived from an instance that has not yet read the
// revocations.
func TestOnlyVouchingInstancesGiveAuthority(t *testing.T) {
	w := newFormedNetwork(t, 8, 2, 1, nil)
	w.run(10 * time.Second)
	if !w.hosts[0].node.LastRegionAck().IsZero() {
		t.Error("an acknowledgement counted although no instance has ConfirmsAuthority set")
	}
	w.hosts[2].node.SetConfirmsAuthority(true)
	w.run(10 * time.Second)
	if w.hosts[0].node.LastRegionAck().IsZero() || !w.hosts[1].node.LastRegionAck().IsZero() {
		t.Error("acknowledgements of the vouching instance must count for its region only")
	}
}

// Guards against an instance that joins later and still acknowledges pings of
// a revoked incarnation.
func TestSuppressionReachesLaterInstances(t *testing.T) {
	w := newFormedNetwork(t, 6, 2, 1, nil)
	late := w.hosts[5]
	w.kill(late)
	w.run(10 * time.Second)
	holder := w.hosts[1]
	w.hosts[3].node.SuppressPingAcks(holder.id, holder.node.self.record.Incarnation)
	w.run(5 * time.Second)
	w.start(late)
	if _, ok := w.until(5*time.Second, func() bool { return late.node.acksSuppressed(holder.id, holder.node.self.record.Incarnation) }); !ok {
		t.Error("an instance that joined later does not know that acknowledgements are suppressed")
	}
}

// Guards against a small region whose instances ping each other too rarely to
// keep their authority, because each round selects from all instances of the cell.
func TestSmallRegionKeepsAuthority(t *testing.T) {
	w := newNetwork(t, 40, 2, 1)
	for _, h := range w.hosts[:2] {
		h.region = "small"
	}
	w.startAll()
	setAllVouch(w)
	w.run(20 * time.Second)
	for range 200 {
		w.run(100 * time.Millisecond)
		for _, h := range w.hosts[:2] {
			if age := w.now.Sub(h.node.LastRegionAck()); age > authorityBound/2 {
				t.Fatalf("the latest acknowledgement of the region of %s is %s old", h.id, age)
			}
		}
	}
}
