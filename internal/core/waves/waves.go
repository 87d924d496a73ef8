// Package waves plans maintenance waves: which VMs are evacuated next, which are
// taken down, and when a wave is complete. It performs no I/O and reads no clock.
package waves

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// VMID identifies a VM. A VM keeps its ID when its worker is replaced.
type VMID string

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID VMID
	// Worker is the worker on the VM, or empty if there is none.
	Worker domain.WorkerID
	// Up reports whether the VM is neither migrating, in maintenance nor down.
	Up bool
}

// Wave is a request of the operators to maintain a set of VMs.
type Wave struct {
	Number int64
	VMs    []VMID
	// MaxDown bounds the number of VMs that may be down for the wave at once.
	MaxDown int
	// DurationMS is the time within which all VMs should have gone down.
	DurationMS int64
}

// Record is the stored state of a wave.
type Record struct {
	Number        int64 `cbor:"1,keyasint"`
	StartedUnixMS int64 `cbor:"2,keyasint"`
	// Ordered lists VMs that may have received the maintenance order, Begun those whose
	// maintenance has certainly begun, and Dropped those that do not belong to the
	// wave or no longer exist.
	Ordered []VMID `cbor:"3,keyasint,omitempty"`
	Begun   []VMID `cbor:"4,keyasint,omitempty"`
	Dropped []VMID `cbor:"5,keyasint,omitempty"`
	Done    bool   `cbor:"6,keyasint,omitempty"`
}

// Load describes the work on a worker.
type Load struct {
	// Runs counts everything that reserves capacity, including start orders that may
	// still take effect.
	Runs int
	// RemainingMS is the longest estimated remaining time of the runs. Tasks that run
	// indefinitely are not counted.
	RemainingMS int64
}

// Evacuation describes the evacuation of a worker, which gets no new work.
type Evacuation struct {
	// DeadlineMS is the monotonic time at which runs that have not ended by themselves are
	// stopped.
	DeadlineMS int64
}

// Order requests that a VM go down for its maintenance.
type Order struct {
	Wave int64
	VM   VMID
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of orders.
const (
	// Unanswered orders may have taken effect, or may still do so.
	Unanswered Outcome = iota
	// Begun means that the VM is down for the wave or has been.
	Begun
	// Busy means that the VM is not up or is being removed.
	Busy
	// NotMember means that the VM does not belong to the wave or does not exist.
	NotMember
	// Limited means that the platform accepts no more orders at present.
	Limited
)

var outcomeNames = [...]string{"unanswered", "begun", "busy", "not_member", "limited"}

// String returns the stable name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Timing of waves.
const (
	// initialDowntimeMS is the assumed downtime of a VM until one is measured.
	initialDowntimeMS = 3000
	// orderRetryDelayMS is the delay before an order that had no effect is repeated.
	orderRetryDelayMS = 1000
	// scheduleMargin is the fraction of the remaining time that is kept as a margin for
	// delays.
	scheduleMargin = 0.2
)

type phase uint8

const (
	waiting phase = iota
	evacuating
	// ordered VMs count as down because an order may have taken effect.
	ordered
	begun
	returned
	dropped
)

type member struct {
	id    VMID
	phase phase
	// sinceMS is when the phase began, and retryAtMS when the next order may be sent.
	sinceMS, retryAtMS int64
	// stored is set once the store holds the intention to send the order, so that the
	// next owner also counts the VM as down.
	stored               bool
	orderInFlight        bool
	evacuationDeadlineMS int64
}

type wave struct {
	Wave
	startedUnixMS int64
	dueMS         int64
	members       []*member
	done          bool
	dirty         bool
}

// Planner plans all waves of a cell. It is not safe for concurrent use.
type Planner struct {
	waves    map[int64]*wave
	records  map[int64]Record
	vms      map[VMID]VM
	listedMS int64
	// downtimeMS is the moving average of the time from the answer to an order until
	// the VM is back up.
	downtimeMS int64
	// holdOffUntilMS is the earliest time at which a new owner sends orders.
	holdOffUntilMS int64
}

// NewPlanner returns a planner that resumes from the records of previous owners. It
// sends no order before holdOffUntilMS, a monotonic time, because orders of the
// previous owner may still be in flight.
func NewPlanner(records []Record, holdOffUntilMS int64) *Planner {
	p := &Planner{waves: make(map[int64]*wave), records: make(map[int64]Record), vms: make(map[VMID]VM), downtimeMS: initialDowntimeMS,
		holdOffUntilMS: holdOffUntilMS}
	for _, r := range records {
		p.records[r.Number] = r
	}
	return p
}

// SetWaves sets the waves that the operators requested. Known waves are unchanged.
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
	r, hasRecord := p.records[request.Number]
	if hasRecord {
		w.startedUnixMS, w.done = r.StartedUnixMS, r.Done
	}
	w.dirty = !hasRecord
	w.MaxDown = max(1, w.MaxDown)
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
			// The next list shows whether it is back up.
			m.phase = begun
		case slices.Contains(r.Ordered, id):
			m.phase, m.stored = ordered, true
		}
		w.members = append(w.members, m)
	}
	return w
}

// SetVMs sets the platform's list of VMs. sentMS is when the request for it was sent.
func (p *Planner) SetVMs(list []VM, sentMS int64) {
	p.listedMS = sentMS
	p.vms = make(map[VMID]VM, len(list))
	for _, vm := range list {
		p.vms[vm.ID] = vm
	}
	for _, w := range p.waves {
		for _, m := range w.members {
			if vm, ok := p.vms[m.id]; m.phase == begun && ok && vm.Up && sentMS > m.sinceMS {
				p.downtimeMS += (sentMS - m.sinceMS - p.downtimeMS) / 4
				m.phase, m.sinceMS = returned, sentMS
			}
		}
	}
}

// Active reports whether a wave is incomplete, so that the list of VMs is needed.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// Plan returns the workers to evacuate and the orders to send. The caller reports the
// outcome of each order with Answered.
func (p *Planner) Plan(nowMS int64, load func(domain.WorkerID) (Load, bool)) (map[domain.WorkerID]Evacuation, []Order) {
	evacuations := make(map[domain.WorkerID]Evacuation)
	var orders []Order
	for _, w := range p.sorted() {
		if w.done || p.listedMS == 0 {
			continue
		}
		p.startEvacuating(w, nowMS, load)
		down := w.count(ordered) + w.count(begun)
		// hasRuns evacuates the member's worker and reports whether anything runs there.
		hasRuns := func(m *member, deadlineMS int64) bool {
			id := p.vms[m.id].Worker
			if id == "" {
				return false
			}
			evacuations[id] = Evacuation{DeadlineMS: deadlineMS}
			l, known := load(id)
			return known && l.Runs > 0
		}
		for _, m := range w.members {
			switch m.phase {
			case evacuating:
				if !hasRuns(m, m.evacuationDeadlineMS) && down < w.MaxDown && nowMS > m.sinceMS {
					m.phase, m.sinceMS, m.retryAtMS = ordered, nowMS, 0
					w.dirty = true
					down++
				}
			case ordered:
				// After a change of owner, work placed by the previous owner may still run there.
				if !hasRuns(m, nowMS) && m.stored && !m.orderInFlight && nowMS >= m.retryAtMS && nowMS >= p.holdOffUntilMS {
					m.orderInFlight = true
					orders = append(orders, Order{w.Number, m.id})
				}
			}
		}
		p.markDoneIfComplete(w)
	}
	return evacuations, orders
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

// startEvacuating starts evacuating the next VMs, up to the number that may be down at
// once, preferring those with the least remaining work. VMs that another wave is
// evacuating or has taken down are left to that wave.
func (p *Planner) startEvacuating(w *wave, nowMS int64, load func(domain.WorkerID) (Load, bool)) {
	var candidates []*member
	for _, m := range w.members {
		if m.phase == waiting && !p.handledByOtherWave(w, m.id) {
			candidates = append(candidates, m)
		}
	}
	capacity := w.MaxDown - w.count(evacuating)
	if capacity <= 0 || len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *member) int {
		la, _ := load(p.vms[a.id].Worker)
		lb, _ := load(p.vms[b.id].Worker)
		return cmp.Or(cmp.Compare(la.RemainingMS, lb.RemainingMS), cmp.Compare(la.Runs, lb.Runs))
	})
	evacuationTimeMS := p.evacuationTimeMS(w, nowMS)
	for _, m := range candidates[:min(capacity, len(candidates))] {
		m.phase, m.sinceMS, m.evacuationDeadlineMS = evacuating, nowMS, nowMS+evacuationTimeMS
	}
}

func (p *Planner) handledByOtherWave(own *wave, id VMID) bool {
	for _, w := range p.waves {
		if w == own || w.done {
			continue
		}
		for _, m := range w.members {
			if m.id == id && (m.phase == evacuating || m.phase == ordered || m.phase == begun) {
				return true
			}
		}
	}
	return false
}

// evacuationTimeMS is how long the runs on a VM may take to end by themselves, so that all
// remaining VMs still go down in time, one batch after the other.
func (p *Planner) evacuationTimeMS(w *wave, nowMS int64) int64 {
	remaining := w.count(waiting) + w.count(evacuating)
	batches := int64((remaining + w.MaxDown - 1) / w.MaxDown)
	batchTimeMS := int64(float64(w.dueMS-nowMS)*(1-scheduleMargin)) / max(1, batches)
	return max(0, batchTimeMS-p.downtimeMS)
}

func (p *Planner) markDoneIfComplete(w *wave) {
	if w.count(begun)+w.count(returned)+w.count(dropped) == len(w.members) {
		w.done, w.dirty = true, true
	}
}

// Answered applies the outcome of an order.
func (p *Planner) Answered(o Order, outcome Outcome, nowMS int64) {
	w, ok := p.waves[o.Wave]
	if !ok {
		return
	}
	for _, m := range w.members {
		if m.id != o.VM || m.phase != ordered {
			continue
		}
		m.orderInFlight = false
		switch outcome {
		case Begun:
			m.phase, m.sinceMS = begun, nowMS
			w.dirty = true
		case NotMember:
			m.phase, m.sinceMS = dropped, nowMS
			w.dirty = true
		default:
			m.retryAtMS = nowMS + orderRetryDelayMS
		}
	}
}

// UnstoredRecords returns the records of waves that must be stored before their next orders.
// The caller confirms each with MarkStored.
func (p *Planner) UnstoredRecords() []Record {
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
		case begun, returned:
			r.Begun = append(r.Begun, m.id)
		case dropped:
			r.Dropped = append(r.Dropped, m.id)
		}
	}
	return r
}

// MarkStored confirms that the store holds the record.
func (p *Planner) MarkStored(r Record) {
	w, ok := p.waves[r.Number]
	if !ok {
		return
	}
	for _, m := range w.members {
		if slices.Contains(r.Ordered, m.id) {
			m.stored = true
		}
	}
	current := w.record()
	w.dirty = current.Done != r.Done || !slices.Equal(current.Ordered, r.Ordered) || !slices.Equal(current.Begun, r.Begun) ||
		!slices.Equal(current.Dropped, r.Dropped)
}
