// Package waves plans maintenance waves: which VMs are emptied next, which go
// down, and when a wave is done. It has no I/O and no clock.
package waves

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// VMID names a VM. It outlives the workers that run on it.
type VMID string

// VM is a row of the platform's list.
type VM struct {
	ID VMID
	// Worker is the worker that runs on it, empty where none does.
	Worker domain.WorkerID
	// Up tells that it is neither moving, in maintenance nor down.
	Up bool
}

// Wave is a request of the operators.
type Wave struct {
	Number int64
	VMs    []VMID
	// MostDown bounds the VMs that are down for the wave at once.
	MostDown int
	// DurationMS is the time in which all of them should have gone down.
	DurationMS int64
}

// Record is what the store keeps of a wave.
type Record struct {
	Number        int64 `cbor:"1,keyasint"`
	StartedUnixMS int64 `cbor:"2,keyasint"`
	// Ordered VMs may have been told to go down. Begun ones have certainly begun,
	// and dropped ones are not of the wave or not there any more.
	Ordered []VMID `cbor:"3,keyasint,omitempty"`
	Begun   []VMID `cbor:"4,keyasint,omitempty"`
	Dropped []VMID `cbor:"5,keyasint,omitempty"`
	Done    bool   `cbor:"6,keyasint,omitempty"`
}

// Load is what runs on a worker.
type Load struct {
	// Runs counts everything that takes room, also orders that may take effect.
	Runs int
	// LeftMS estimates how long the longest of them still takes, without lasting tasks.
	LeftMS int64
}

// Emptying tells how a worker is to be emptied. It gets no new work.
type Emptying struct {
	// ByMS is when what does not end by itself is stopped, as a steady time.
	ByMS int64
}

// Order tells a VM to go down for its maintenance.
type Order struct {
	Wave int64
	VM   VMID
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Unanswered orders may have had an effect, or may still have one.
	Unanswered Outcome = iota
	// Begun tells that the VM is down for the wave or has been.
	Begun
	// Busy tells that the VM is not up or leaves.
	Busy
	// NotMember tells that the VM is not of the wave or does not exist.
	NotMember
	// Limited tells that the platform takes no more orders now.
	Limited
)

var outcomeNames = [...]string{"unanswered", "begun", "busy", "not_member", "limited"}

// String returns the outcome's stable name.
func (o Outcome) String() string { return outcomeNames[o] }

// Figures of waves.
const (
	// firstDownMS is taken as the time of a maintenance until one was seen.
	firstDownMS = 3000
	// orderAgainMS is the pause before an order without effect is repeated.
	orderAgainMS = 1000
	// reserveShare of the time for a batch is kept for what goes wrong.
	reserveShare = 0.2
)

type phase uint8

const (
	waiting phase = iota
	emptying
	// ordered VMs count as down: an order may have taken effect.
	ordered
	begun
	back
	dropped
)

type member struct {
	id    VMID
	phase phase
	// sinceMS is when the phase began, and againMS when an order may be sent.
	sinceMS, againMS int64
	// stored tells that the store holds the intention to order, so that a
	// successor counts the VM as down.
	stored bool
	asking bool
	byMS   int64
}

type wave struct {
	Wave
	startedUnixMS int64
	dueMS         int64
	members       []*member
	done          bool
	dirty         bool
}

// Planner plans all waves of a cell. It is used by one goroutine.
type Planner struct {
	waves    map[int64]*wave
	records  map[int64]Record
	vms      map[VMID]VM
	listedMS int64
	// downMS is the smoothed time from an order to the VM's return.
	downMS int64
	// quietUntilMS is before the first order of a new owner.
	quietUntilMS int64
}

// NewPlanner returns a planner that knows the records of former owners and
// sends no order before quietUntilMS, a steady time: orders of the former owner
// may be under way.
func NewPlanner(records []Record, quietUntilMS int64) *Planner {
	p := &Planner{waves: make(map[int64]*wave), records: make(map[int64]Record), vms: make(map[VMID]VM), downMS: firstDownMS,
		quietUntilMS: quietUntilMS}
	for _, r := range records {
		p.records[r.Number] = r
	}
	return p
}

// SetWaves takes the waves that the operators ask for. A known wave is not changed.
func (p *Planner) SetWaves(list []Wave, nowMS, unixMS int64) {
	for _, w := range list {
		if _, known := p.waves[w.Number]; known {
			continue
		}
		p.waves[w.Number] = p.newWave(w, nowMS, unixMS)
	}
}

func (p *Planner) newWave(request Wave, nowMS, unixMS int64) *wave {
	w := &wave{Wave: request, startedUnixMS: unixMS}
	r, recovered := p.records[request.Number]
	if recovered {
		w.startedUnixMS, w.done = r.StartedUnixMS, r.Done
	}
	w.dirty = !recovered
	w.MostDown = max(1, w.MostDown)
	w.dueMS = nowMS + w.startedUnixMS - unixMS + w.DurationMS
	seen := make(map[VMID]bool)
	for _, id := range request.VMs {
		if seen[id] {
			continue
		}
		seen[id] = true
		m := &member{id: id, sinceMS: nowMS}
		switch {
		case slices.Contains(r.Dropped, id):
			m.phase = dropped
		case slices.Contains(r.Begun, id):
			// Whether it is back shows in the list.
			m.phase = begun
		case slices.Contains(r.Ordered, id):
			m.phase, m.stored = ordered, true
		}
		w.members = append(w.members, m)
	}
	return w
}

// SetVMs takes the platform's list, whose reading began at sentMS.
func (p *Planner) SetVMs(list []VM, sentMS int64) {
	p.listedMS = sentMS
	p.vms = make(map[VMID]VM, len(list))
	for _, vm := range list {
		p.vms[vm.ID] = vm
	}
	for _, w := range p.waves {
		for _, m := range w.members {
			if vm, ok := p.vms[m.id]; m.phase == begun && ok && vm.Up && sentMS > m.sinceMS {
				p.downMS += (sentMS - m.sinceMS - p.downMS) / 4
				m.phase, m.sinceMS = back, sentMS
			}
		}
	}
}

// Active reports whether a wave needs the list of VMs.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// Plan returns the workers to empty and the orders to send. The caller reports
// the outcome of each order.
func (p *Planner) Plan(nowMS int64, load func(domain.WorkerID) (Load, bool)) (map[domain.WorkerID]Emptying, []Order) {
	empty := make(map[domain.WorkerID]Emptying)
	var orders []Order
	for _, w := range p.sorted() {
		if w.done || p.listedMS == 0 {
			continue
		}
		p.choose(w, nowMS, load)
		down := w.count(ordered) + w.count(begun)
		// occupied empties the member's worker and reports whether something runs there.
		occupied := func(m *member, byMS int64) bool {
			id := p.vms[m.id].Worker
			if id == "" {
				return false
			}
			empty[id] = Emptying{ByMS: byMS}
			l, known := load(id)
			return known && l.Runs > 0
		}
		for _, m := range w.members {
			switch m.phase {
			case emptying:
				if !occupied(m, m.byMS) && down < w.MostDown && nowMS > m.sinceMS {
					m.phase, m.sinceMS, m.againMS = ordered, nowMS, 0
					w.dirty = true
					down++
				}
			case ordered:
				// After a takeover the former owner's work may still be there.
				if !occupied(m, nowMS) && m.stored && !m.asking && nowMS >= m.againMS && nowMS >= p.quietUntilMS {
					m.asking = true
					orders = append(orders, Order{w.Number, m.id})
				}
			}
		}
		p.finish(w)
	}
	return empty, orders
}

func (p *Planner) sorted() []*wave {
	list := make([]*wave, 0, len(p.waves))
	for _, w := range p.waves {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *wave) int { return cmp.Or(cmp.Compare(a.dueMS, b.dueMS), cmp.Compare(a.Number, b.Number)) })
	return list
}

func (w *wave) count(of phase) int {
	n := 0
	for _, m := range w.members {
		if m.phase == of {
			n++
		}
	}
	return n
}

// choose begins to empty the next VMs: as many as may be down at once, those
// with the least to lose first. Other waves' VMs that are emptied or down stay with theirs.
func (p *Planner) choose(w *wave, nowMS int64, load func(domain.WorkerID) (Load, bool)) {
	var next []*member
	for _, m := range w.members {
		if m.phase == waiting && !p.busyElsewhere(w, m.id) {
			next = append(next, m)
		}
	}
	room := w.MostDown - w.count(emptying)
	if room <= 0 || len(next) == 0 {
		return
	}
	slices.SortStableFunc(next, func(a, b *member) int {
		la, _ := load(p.vms[a.id].Worker)
		lb, _ := load(p.vms[b.id].Worker)
		return cmp.Or(cmp.Compare(la.LeftMS, lb.LeftMS), cmp.Compare(la.Runs, lb.Runs))
	})
	patience := p.patienceMS(w, nowMS)
	for _, m := range next[:min(room, len(next))] {
		m.phase, m.sinceMS, m.byMS = emptying, nowMS, nowMS+patience
	}
}

func (p *Planner) busyElsewhere(own *wave, id VMID) bool {
	for _, w := range p.waves {
		if w == own || w.done {
			continue
		}
		for _, m := range w.members {
			if m.id == id && (m.phase == emptying || m.phase == ordered || m.phase == begun) {
				return true
			}
		}
	}
	return false
}

// patienceMS is how long a VM may take to empty by itself, so that all that are
// left still go down in time, one batch after the other.
func (p *Planner) patienceMS(w *wave, nowMS int64) int64 {
	left := w.count(waiting) + w.count(emptying)
	batches := int64((left + w.MostDown - 1) / w.MostDown)
	time := int64(float64(w.dueMS-nowMS)*(1-reserveShare)) / max(1, batches)
	return max(0, time-p.downMS)
}

func (p *Planner) finish(w *wave) {
	if w.count(begun)+w.count(back)+w.count(dropped) == len(w.members) {
		w.done, w.dirty = true, true
	}
}

// Answered takes the outcome of an order.
func (p *Planner) Answered(o Order, outcome Outcome, nowMS int64) {
	w, ok := p.waves[o.Wave]
	if !ok {
		return
	}
	for _, m := range w.members {
		if m.id != o.VM || m.phase != ordered {
			continue
		}
		m.asking = false
		switch outcome {
		case Begun:
			m.phase, m.sinceMS = begun, nowMS
			w.dirty = true
		case NotMember:
			m.phase, m.sinceMS = dropped, nowMS
			w.dirty = true
		default:
			m.againMS = nowMS + orderAgainMS
		}
	}
}

// Dirty returns the waves whose record or state has to be stored before their
// next orders. The caller reports each with Stored.
func (p *Planner) Dirty() []Record {
	var list []Record
	for _, w := range p.sorted() {
		if w.dirty {
			list = append(list, w.record())
		}
	}
	return list
}

func (w *wave) record() Record {
	r := Record{Number: w.Number, StartedUnixMS: w.startedUnixMS, Done: w.done}
	for _, m := range w.members {
		switch m.phase {
		case ordered:
			r.Ordered = append(r.Ordered, m.id)
		case begun, back:
			r.Begun = append(r.Begun, m.id)
		case dropped:
			r.Dropped = append(r.Dropped, m.id)
		}
	}
	return r
}

// Stored tells that the store holds the record.
func (p *Planner) Stored(r Record) {
	w, ok := p.waves[r.Number]
	if !ok {
		return
	}
	for _, m := range w.members {
		if slices.Contains(r.Ordered, m.id) {
			m.stored = true
		}
	}
	now := w.record()
	w.dirty = now.Done != r.Done || !slices.Equal(now.Ordered, r.Ordered) || !slices.Equal(now.Begun, r.Begun) ||
		!slices.Equal(now.Dropped, r.Dropped)
}
