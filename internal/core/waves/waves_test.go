package waves

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// platform models VMs under maintenance, their workers, and an owner that may be
// replaced at any moment.
type platform struct {
	t        *testing.T
	rng      *rand.Rand
	nowMS    int64
	planner  *Planner
	stored   map[int64][]byte
	requests []Wave
	vms      map[VMID]*fakeVM
	order    []VMID
	// lossRate is the fraction of orders whose answer is lost. Half of them take effect
	// later, the others never do.
	lossRate        float64
	down            map[int64]int
	worstDown       map[int64]int
	interruptedRuns int
	ordersSent      int
	delayed         []delayedOrder
	// pendingList is a list request in flight, and writes are record writes in flight,
	// both of the current planner.
	pendingList   []VM
	pendingListMS int64
	writes        []write
}

type write struct {
	atMS   int64
	record Record
}

type fakeVM struct {
	worker               domain.WorkerID
	incarnation          int
	upAtMS               int64
	endsAtMS             int64
	evacuating           bool
	evacuationDeadlineMS int64
	done                 map[int64]bool
	wave                 int64
}

type delayedOrder struct {
	atMS  int64
	order Order
}

const (
	downtimeMS = 2000
	stepMS     = 50
	// listLatencyMS and writeLatencyMS are the latencies of a list request and a write.
	listLatencyMS  = 800
	writeLatencyMS = 300
)

func newPlatform(t *testing.T, seed uint64, vms int, requests ...Wave) *platform {
	p := &platform{t: t, rng: rand.New(rand.NewPCG(seed, 1)), stored: make(map[int64][]byte), requests: requests,
		vms: make(map[VMID]*fakeVM), down: make(map[int64]int), worstDown: make(map[int64]int), nowMS: 1000}
	for n := range vms {
		id := VMID(fmt.Sprintf("m%03d", n))
		p.order = append(p.order, id)
		p.vms[id] = &fakeVM{worker: domain.WorkerID(fmt.Sprint("w", n, "-0")), done: make(map[int64]bool), endsAtMS: 1000 + p.rng.Int64N(4000)}
	}
	p.replaceOwner()
	return p
}

func vmIDs(vms int) []VMID {
	var list []VMID
	for n := range vms {
		list = append(list, VMID(fmt.Sprintf("m%03d", n)))
	}
	return list
}

func (p *platform) replaceOwner() {
	// Writes in flight of the previous owner may or may not have been applied, and their
	// results are lost. None is applied after the new owner's claim, because every write
	// is conditional on the revision of the claim.
	for _, w := range p.writes {
		if p.rng.IntN(2) == 0 {
			p.store(w.record)
		}
	}
	p.writes, p.pendingList = nil, nil
	var records []Record
	for _, number := range slices.Sorted(maps.Keys(p.stored)) {
		var r Record
		if err := cbor.Unmarshal(p.stored[number], &r); err != nil {
			p.t.Fatal(err)
		}
		records = append(records, r)
	}
	p.planner = NewPlanner(records, p.nowMS+3000)
	for _, vm := range p.vms {
		vm.evacuating = false
	}
}

func (p *platform) up(vm *fakeVM) bool { return p.nowMS >= vm.upAtMS }

func (p *platform) list() []VM {
	var list []VM
	for _, id := range p.order {
		vm := p.vms[id]
		row := VM{ID: id, Up: p.up(vm)}
		if row.Up {
			row.Worker = vm.worker
		}
		list = append(list, row)
	}
	return list
}

func (p *platform) load(id domain.WorkerID) (Load, bool) {
	for _, vm := range p.vms {
		if vm.worker == id {
			if vm.endsAtMS > p.nowMS {
				return Load{Runs: 1, RemainingMS: vm.endsAtMS - p.nowMS}, true
			}
			return Load{}, true
		}
	}
	return Load{}, false
}

// execute applies an order as the platform would.
func (p *platform) execute(o Order) Outcome {
	vm, ok := p.vms[o.VM]
	switch {
	case !ok:
		return NotMember
	case vm.done[o.Wave]:
		return Begun
	case !p.up(vm):
		return Busy
	}
	vm.done[o.Wave], vm.wave = true, o.Wave
	if vm.endsAtMS > p.nowMS {
		p.interruptedRuns++
	}
	vm.incarnation++
	vm.worker = domain.WorkerID(fmt.Sprint(vm.worker, "-", vm.incarnation))
	vm.upAtMS, vm.endsAtMS = p.nowMS+downtimeMS, p.nowMS+downtimeMS+500
	p.down[o.Wave]++
	p.worstDown[o.Wave] = max(p.worstDown[o.Wave], p.countDown(o.Wave))
	return Begun
}

func (p *platform) countDown(wave int64) int {
	n := 0
	for _, vm := range p.vms {
		if vm.wave == wave && !p.up(vm) {
			n++
		}
	}
	return n
}

func (p *platform) store(r Record) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		p.t.Fatal(err)
	}
	p.stored[r.Number] = raw
}

// step advances the owner, the platform and the workers by stepMS.
func (p *platform) step() {
	p.nowMS += stepMS
	stillDelayed := p.delayed[:0]
	for _, l := range p.delayed {
		if l.atMS <= p.nowMS {
			p.execute(l.order)
			continue
		}
		stillDelayed = append(stillDelayed, l)
	}
	p.delayed = stillDelayed
	p.planner.SetWaves(p.requests, p.nowMS, 1_000_000+p.nowMS)
	if p.nowMS%1000 == 0 {
		p.pendingList, p.pendingListMS = p.list(), p.nowMS
	}
	if p.pendingList != nil && p.nowMS-p.pendingListMS == listLatencyMS {
		p.planner.SetVMs(p.pendingList, p.pendingListMS)
	}
	for len(p.writes) > 0 && p.writes[0].atMS <= p.nowMS {
		p.store(p.writes[0].record)
		p.planner.MarkStored(p.writes[0].record)
		p.writes = p.writes[1:]
	}
	empty, orders := p.planner.Plan(p.nowMS, p.load)
	for _, id := range p.order {
		vm := p.vms[id]
		e, ok := empty[vm.worker]
		vm.evacuating, vm.evacuationDeadlineMS = ok, e.DeadlineMS
		switch {
		case vm.evacuating && p.nowMS >= vm.evacuationDeadlineMS && vm.endsAtMS > p.nowMS+400:
			vm.endsAtMS = p.nowMS + 400
		case !vm.evacuating && vm.endsAtMS <= p.nowMS:
			// Workers that are not being evacuated always get new work.
			vm.endsAtMS = p.nowMS + 500 + p.rng.Int64N(6000)
		}
	}
	if len(p.writes) == 0 {
		for _, r := range p.planner.UnstoredRecords() {
			p.writes = append(p.writes, write{p.nowMS + writeLatencyMS, r})
		}
	}
	for _, o := range orders {
		p.ordersSent++
		if p.rng.Float64() < p.lossRate {
			if p.rng.Float64() < 0.5 {
				p.delayed = append(p.delayed, delayedOrder{p.nowMS + p.rng.Int64N(6000), o})
			}
			p.planner.Answered(o, Unanswered, p.nowMS)
			continue
		}
		p.planner.Answered(o, p.execute(o), p.nowMS)
	}
}

func (p *platform) isDone(number int64) bool {
	var r Record
	if raw, ok := p.stored[number]; !ok || cbor.Unmarshal(raw, &r) != nil {
		return false
	}
	return r.Done
}

// Guards against taking down more VMs at once than a wave permits, maintenance that
// interrupts running work, and a wave that completes late or is marked done too
// early, under lost and delayed orders and changes of the owner.
func TestWaveBoundsVMsDownAndCompletes(t *testing.T) {
	for name, c := range map[string]struct {
		vms, cap int
		seconds  int64
		lose     float64
		// takeOverMS is the mean time between changes of the owner, or zero for none.
		takeOverMS int64
	}{
		"no faults":                     {12, 2, 60, 0, 0},
		"one at a time":                 {6, 1, 60, 0, 0},
		"orders lost":                   {12, 3, 80, 0.3, 0},
		"owners change":                 {12, 3, 100, 0, 9000},
		"lost orders and owner changes": {20, 4, 160, 0.3, 12_000},
		"frequent owner changes":        {8, 1, 200, 0.6, 4500},
		"mostly lost orders":            {12, 2, 200, 0.6, 6000},
		"rack of 60 VMs":                {60, 8, 120, 0.05, 0},
		"all VMs at once":               {10, 10, 30, 0, 0},
		"tight deadline":                {10, 2, 35, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				wave := Wave{Number: 7, VMs: append(vmIDs(c.vms), "m000", "gone"), MaxDown: c.cap, DurationMS: c.seconds * 1000}
				p := newPlatform(t, seed, c.vms+4, wave)
				p.lossRate = c.lose
				for !p.isDone(7) && p.nowMS < 10*c.seconds*1000 {
					if c.takeOverMS > 0 && p.rng.Int64N(c.takeOverMS) < stepMS {
						p.replaceOwner()
					}
					p.step()
				}
				late := p.nowMS - c.seconds*1000 - 1000
				if !p.isDone(7) || c.lose+float64(c.takeOverMS) == 0 && late > 0 {
					t.Errorf("seed %d: done %v, %d ms late", seed, p.isDone(7), late)
				}
				if p.worstDown[7] > c.cap {
					t.Errorf("seed %d: %d VMs were down at once, the limit is %d", seed, p.worstDown[7], c.cap)
				}
				if p.down[7] != c.vms {
					t.Errorf("seed %d: %d of %d VMs were maintained", seed, p.down[7], c.vms)
				}
				// A delayed order may interrupt work that a later owner has started.
				if p.interruptedRuns > 0 && c.takeOverMS == 0 {
					t.Errorf("seed %d: maintenance interrupted running work %d times", seed, p.interruptedRuns)
				}
				for range 200 {
					p.step()
				}
				if p.down[7] != c.vms || p.planner.Active() {
					t.Errorf("seed %d: %d orders took effect after the wave was done", seed, p.down[7]-c.vms)
				}
			}
		})
	}
}

// Guards against two waves that share VMs taking them down twice, or blocking each
// other forever.
func TestOverlappingWavesComplete(t *testing.T) {
	a := Wave{Number: 1, VMs: vmIDs(8), MaxDown: 2, DurationMS: 60_000}
	b := Wave{Number: 2, VMs: vmIDs(8)[4:], MaxDown: 2, DurationMS: 90_000}
	p := newPlatform(t, 3, 8, a, b)
	for !(p.isDone(1) && p.isDone(2)) && p.nowMS < 200_000 {
		p.step()
	}
	if !p.isDone(1) || !p.isDone(2) || p.worstDown[1] > 2 || p.worstDown[2] > 2 {
		t.Errorf("waves done: %v and %v, maximum VMs down: %v", p.isDone(1), p.isDone(2), p.worstDown)
	}
}
