package membership

import (
	"fmt"
	"testing"
	"time"
)

// authorityBound is the age of the latest acknowledgement at which authority ends.
const authorityBound = 6 * time.Second

func vouchAll(w *network) {
	for _, h := range w.hosts {
		h.node.SetVouches(true)
	}
}

// barOf returns what goes wrong when all other instances of its region bar one.
func barOf(t *testing.T, seed uint64, plant func(*network)) string {
	w := formed(t, 8, 2, seed, nil)
	vouchAll(w)
	w.run(5 * time.Second)
	for _, h := range w.hosts {
		if age := w.now.Sub(h.node.RegionAck()); age > authorityBound/2 {
			return fmt.Sprintf("the latest acknowledgement of the region of %s is %s old without a bar", h.id, age)
		}
	}
	if plant != nil {
		plant(w)
	}
	holder := w.hosts[1]
	incarnation := holder.node.self.record.Incarnation
	barredAt := w.now
	for _, h := range w.hosts {
		if h != holder && h.region == holder.region {
			h.node.Bar(holder.id, incarnation)
		}
	}
	w.run(20 * time.Second)
	if holder.node.RegionAck().After(barredAt) {
		return "a ping of a barred incarnation was acknowledged"
	}
	if !holder.node.self.barred {
		return "the barred instance does not know of the bar"
	}
	if !w.agree() {
		return "a bar made an instance believe that others died: " + w.disagreement()
	}
	w.kill(holder)
	w.start(holder)
	holder.node.SetVouches(true)
	w.run(10 * time.Second)
	if age := w.now.Sub(holder.node.RegionAck()); age > authorityBound/2 {
		return fmt.Sprintf("the latest acknowledgement of a new incarnation is %s old", age)
	}
	return ""
}

// Guards against a revoked holder that keeps its authority, and against one
// that accuses the instances that barred it.
func TestBar(t *testing.T) {
	for seed := range uint64(5) {
		if problem := barOf(t, seed, nil); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	plants := map[string]func(*Message){
		"pings are acknowledged in spite of the bar": func(m *Message) {
			if m.Kind == KindBarred {
				m.Kind = KindAck
			}
		},
		"barred pings stay without an answer": func(m *Message) {
			if m.Kind == KindBarred {
				m.Kind = 0
			}
			for i := range m.Updates {
				m.Updates[i].Barred = false
			}
		},
		"a new incarnation is barred as well": func(m *Message) {
			if m.Kind == KindAck && m.To == "i01" && m.Digest.Incarnation == uint64(epoch.UnixMilli()) {
				m.Kind = KindBarred
			}
		},
	}
	for name, alter := range plants {
		problem := barOf(t, 1, func(w *network) { w.alter = alter })
		t.Logf("planted: %s: %s", name, problem)
		if problem == "" {
			t.Errorf("planted: %s: not found", name)
		}
	}
}

// Guards against authority that rests on an instance which has not yet read
// the revocations.
func TestOnlyVouchingInstancesGiveAuthority(t *testing.T) {
	w := formed(t, 8, 2, 1, nil)
	w.run(10 * time.Second)
	if !w.hosts[0].node.RegionAck().IsZero() {
		t.Error("an acknowledgement counted although no instance vouches")
	}
	w.hosts[2].node.SetVouches(true)
	w.run(10 * time.Second)
	if w.hosts[0].node.RegionAck().IsZero() || !w.hosts[1].node.RegionAck().IsZero() {
		t.Error("acknowledgements count exactly for the region of the vouching instance")
	}
}

// Guards against a bar that an instance which joins later does not learn of.
func TestBarReachesLaterInstances(t *testing.T) {
	w := formed(t, 6, 2, 1, nil)
	late := w.hosts[5]
	w.kill(late)
	w.run(10 * time.Second)
	holder := w.hosts[1]
	w.hosts[3].node.Bar(holder.id, holder.node.self.record.Incarnation)
	w.run(5 * time.Second)
	w.start(late)
	if _, ok := w.until(5*time.Second, func() bool { return late.node.isBarred(holder.id, holder.node.self.record.Incarnation) }); !ok {
		t.Error("an instance that joined later does not know of the bar")
	}
}

// Guards against a small region whose instances ping each other too seldom for
// their authority, because the round goes through all instances of the cell.
func TestSmallRegionKeepsAuthority(t *testing.T) {
	w := newNetwork(t, 40, 2, 1)
	for _, h := range w.hosts[:2] {
		h.region = "small"
	}
	w.startAll()
	vouchAll(w)
	w.run(20 * time.Second)
	for range 200 {
		w.run(100 * time.Millisecond)
		for _, h := range w.hosts[:2] {
			if age := w.now.Sub(h.node.RegionAck()); age > authorityBound/2 {
				t.Fatalf("the latest acknowledgement of the region of %s is %s old", h.id, age)
			}
		}
	}
}
