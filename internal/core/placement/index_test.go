package placement

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

func resources(cores, gb, accelerators int64) domain.Resources {
	return domain.Resources{CPUMilli: cores * 1000, MemoryMB: gb * 1000, Accelerators: accelerators}
}

// newTestIndex returns an index of two zones with four workers each, two to a rack. In each
// zone the last worker has two accelerators.
func newTestIndex(packing float64) *index {
	x := newIndex(Options{Packing: packing})
	for _, zone := range []string{"z1", "z2"} {
		for i := range 4 {
			n := Worker{
				ID:       domain.WorkerID(fmt.Sprintf("%s-w%d", zone, i)),
				Location: domain.Location{Zone: domain.ZoneID(zone), Rack: domain.RackID(fmt.Sprint("r", i/2))},
				Capacity: resources(8, 32, 0),
			}
			if i == 3 {
				n.Capacity.Accelerators = 2
			}
			x.Upsert(n)
		}
	}
	return x
}

// Guards against placements that violate a filter or a scoring preference.
func TestPlacePreferencesAndFilters(t *testing.T) {
	cases := []struct {
		name    string
		packing float64
		before  func(x *index)
		r       Request
		want    domain.WorkerID
	}{
		{"equal scores are ordered by worker ID", 1, nil, Request{Size: resources(1, 4, 0)}, "z1-w0"},
		{"packing selects the fullest worker", 1, func(x *index) { x.Reserve("z1-w1", "j", resources(4, 16, 0)) }, Request{Size: resources(1, 4, 0)}, "z1-w1"},
		{"spreading selects the emptiest worker", 0, func(x *index) { x.Reserve("z1-w0", "j", resources(4, 16, 0)) }, Request{Size: resources(1, 4, 0)}, "z1-w1"},
		{"accelerated worker for a task that needs accelerators", 1, nil, Request{Size: resources(1, 4, 1)}, "z1-w3"},
		{"accelerated worker is the last resort", 1, func(x *index) {
			x.Reserve("z1-w3", "j", resources(4, 16, 2))
		}, Request{Size: resources(1, 4, 0)}, "z1-w0"},
		{"balance avoids stranded memory", 1, func(x *index) {
			x.Reserve("z1-w0", "j", resources(5, 8, 0))
			x.Reserve("z1-w1", "j", resources(2, 20, 0))
		}, Request{Size: resources(1, 12, 0)}, "z1-w0"},
		{"zone", 1, nil, Request{Size: resources(1, 4, 0), Zones: []domain.ZoneID{"z2"}}, "z2-w0"},
		{"avoided", 1, nil, Request{Size: resources(1, 4, 0), Avoid: []domain.WorkerID{"z1-w0"}}, "z1-w1"},
		{"excluded", 1, func(x *index) { x.Exclude("z1-w0", RejectLeaving) }, Request{Size: resources(1, 4, 0)}, "z1-w1"},
		{"included again", 1, func(x *index) {
			x.Exclude("z1-w0", RejectLeaving)
			x.Exclude("z1-w0", "")
		}, Request{Size: resources(1, 4, 0)}, "z1-w0"},
		{"replicas over zones", 1, func(x *index) { x.Reserve("z1-w0", "s", resources(1, 4, 0)) }, Request{Size: resources(1, 4, 0), Spread: "s"}, "z2-w0"},
		{"replicas over racks", 1, func(x *index) { x.Reserve("z1-w0", "s", resources(1, 4, 0)) },
			Request{Size: resources(1, 4, 0), Spread: "s", Zones: []domain.ZoneID{"z1"}}, "z1-w2"},
		{"held for a gang", 1, func(x *index) { x.Hold("g", []domain.WorkerID{"z1-w0"}) }, Request{Size: resources(1, 4, 0)}, "z1-w1"},
		{"holder may use its hold", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
		}, Request{Size: resources(1, 4, 0), Holder: "g"}, "z1-w0"},
		{"backfill before the gang starts", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.SetExpectedStart("g", time.Unix(100, 0))
		}, Request{Size: resources(1, 4, 0), End: time.Unix(100, 0)}, "z1-w0"},
		{"no backfill beyond the start", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.SetExpectedStart("g", time.Unix(100, 0))
		}, Request{Size: resources(1, 4, 0), End: time.Unix(101, 0)}, "z1-w1"},
		{"capacity beyond the hold is available", 1, func(x *index) {
			x.HoldCapacity("g", resources(4, 16, 0), []domain.WorkerID{"z1-w0"})
		}, Request{Size: resources(4, 16, 0)}, "z1-w0"},
		{"held capacity is unavailable to others", 1, func(x *index) {
			x.HoldCapacity("g", resources(3, 4, 0), []domain.WorkerID{"z1-w0", "z1-w0"})
		}, Request{Size: resources(3, 4, 0)}, "z1-w1"},
		{"reservations of the holder consume its hold", 1, func(x *index) {
			x.HoldCapacity("g", resources(4, 16, 0), []domain.WorkerID{"z1-w0"})
			x.Reserve("z1-w0", "g", resources(4, 16, 0))
		}, Request{Size: resources(4, 16, 0)}, "z1-w0"},
		{"hold removed", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.ReleaseHold("g")
		}, Request{Size: resources(1, 4, 0)}, "z1-w0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newTestIndex(c.packing)
			if c.before != nil {
				c.before(x)
			}
			got, err := x.Place(c.r)
			if err != nil || got != c.want {
				t.Fatalf("worker is %q (%v), want %q", got, err, c.want)
			}
		})
	}
}

// Guards against wrong counts of rejected workers and a wrong nearest size in NoFitError.
func TestNoFitErrorCountsAndNearestSize(t *testing.T) {
	cases := []struct {
		name    string
		before  func(x *index)
		r       Request
		members int
		want    NoFitError
	}{
		{"too large", nil, Request{Size: resources(9, 64, 0)}, 1,
			NoFitError{Rejections: []Rejection{{RejectCPU, 8}}, NeverFits: true, NearestSize: resources(8, 32, 0)}},
		{"memory too large", nil, Request{Size: resources(2, 33, 0)}, 1,
			NoFitError{Rejections: []Rejection{{RejectMemory, 8}}, NeverFits: true, NearestSize: resources(2, 32, 0)}},
		{"full now", func(x *index) { x.Reserve("z1-w3", "j", resources(1, 1, 1)) }, Request{Size: resources(8, 32, 2), Zones: []domain.ZoneID{"z1"}}, 1,
			NoFitError{Rejections: []Rejection{{RejectZone, 4}, {RejectAccelerators, 4}}}},
		{"one worker or more per reason", func(x *index) {
			x.Exclude("z1-w0", RejectLeaving)
			x.Exclude("z1-w1", RejectQuarantined)
			x.Exclude("z1-w2", "draining")
			x.Hold("g", []domain.WorkerID{"z1-w3"})
			x.Reserve("z2-w0", "j", resources(1, 1, 0))
			x.Reserve("z2-w1", "j", resources(0, 1, 0))
			x.Reserve("z2-w2", "j", resources(8, 32, 0))
		}, Request{Size: resources(8, 32, 0), Avoid: []domain.WorkerID{"z2-w3"}}, 1,
			NoFitError{Rejections: []Rejection{{RejectLeaving, 1}, {RejectQuarantined, 1}, {RejectReserved, 1},
				{RejectCPU, 2}, {RejectMemory, 1}, {RejectAvoided, 1}, {"draining", 1}}}},
		{"gang too large for a zone", nil, Request{Size: resources(3, 8, 0)}, 9,
			NoFitError{Rejections: nil, NeverFits: true, NearestSize: domain.Resources{CPUMilli: 2666, MemoryMB: 8000}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newTestIndex(1)
			if c.before != nil {
				c.before(x)
			}
			_, err := x.PlaceGang(c.r, c.members, false)
			if c.members == 1 {
				_, err = x.Place(c.r)
			}
			var got *NoFitError
			if !errors.As(err, &got) {
				t.Fatalf("error is %v, want *NoFitError", err)
			}
			if len(got.Rejections) == 0 {
				got.Rejections = nil
			}
			if !reflect.DeepEqual(*got, c.want) {
				t.Fatalf("error is %+v, want %+v", *got, c.want)
			}
		})
	}
}

// Guards against splitting a gang over zones when span is not set, and against
// candidates that could not hold the gang.
func TestGangStaysInOneZone(t *testing.T) {
	x := newTestIndex(1)
	x.Reserve("z1-w0", "j", resources(1, 1, 0))
	four, err := x.PlaceGang(Request{Size: resources(8, 32, 0)}, 4, false)
	if err != nil || x.bySlot[x.slots[four[0]]].zone.id != "z2" {
		t.Fatalf("gang is on %v (%v), want zone z2", four, err)
	}
	if _, err := x.PlaceGang(Request{Size: resources(8, 32, 0)}, 5, false); err == nil {
		t.Fatal("gang of five was placed in zones of four workers")
	}
	if seven, err := x.PlaceGang(Request{Size: resources(8, 32, 0)}, 7, true); err != nil || len(seven) != 7 {
		t.Fatalf("gang is on %v (%v), want seven workers", seven, err)
	}
	if x.Reserved() != resources(1, 1, 0) || x.Total() != resources(64, 256, 4) {
		t.Fatalf("reserved is %v of %v", x.Reserved(), x.Total())
	}
	x.Reserve("z2-w0", "j", resources(8, 32, 0))
	candidates, ok := x.GangCandidates(Request{Size: resources(8, 32, 0)}, 4, false)
	if !ok || len(candidates) != 4 || candidates[3] != "z1-w0" {
		t.Fatalf("candidates are %v, want the workers of z1, the one with the largest deficit last", candidates)
	}
	if _, ok := x.GangCandidates(Request{Size: resources(8, 32, 0)}, 9, true); ok {
		t.Fatal("found nine candidates among eight workers")
	}
}

// Guards against counting held capacity twice for the job that holds it, and against
// choosing candidates on which more capacity has to become free than on others.
func TestGangCountsOwnHoldOnce(t *testing.T) {
	x := newTestIndex(1)
	for _, id := range []domain.WorkerID{"z1-w0", "z1-w1", "z1-w2", "z1-w3"} {
		x.Reserve(id, "j", resources(4, 4, 0))
	}
	x.HoldCapacity("g", resources(2, 2, 0), []domain.WorkerID{"z1-w0"})
	r := Request{Size: resources(2, 2, 0), Holder: "g", Zones: []domain.ZoneID{"z1"}}
	if eight, err := x.PlaceGang(r, 8, false); err != nil || len(eight) != 8 {
		t.Fatalf("gang is on %v (%v), want eight members", eight, err)
	}
	if nine, err := x.PlaceGang(r, 9, false); err == nil {
		t.Fatalf("gang of nine is on %v, which fit only eight members", nine)
	}
	x.Reserve("z1-w3", "j", resources(3, 3, 0))
	want := []domain.WorkerID{"z1-w0", "z1-w0", "z1-w1", "z1-w1", "z1-w2", "z1-w2", "z1-w3", "z1-w0", "z1-w0"}
	if got, ok := x.GangCandidates(r, 9, false); !ok || !reflect.DeepEqual(got, want) {
		t.Fatalf("candidates are %v, want %v", got, want)
	}
}

// Guards against phantom capacity when a reservation is released after its worker was
// removed and added again, and against overcommitment by Reserve.
func TestReleaseAfterWorkerWasReAdded(t *testing.T) {
	x := newTestIndex(1)
	if !x.Reserve("z1-w0", "j", resources(8, 32, 0)) || x.Reserve("z1-w0", "j", resources(1, 0, 0)) {
		t.Fatal("first reservation failed, or the second one overcommitted the worker")
	}
	x.ForceReserve("z1-w0", "k", resources(1, 1, 0))
	x.Reserve("z1-w1", "j", resources(1, 1, 0))
	x.Remove("z1-w0")
	x.Upsert(Worker{ID: "z1-w0", Location: domain.Location{Zone: "z1", Rack: "r0"}, Capacity: resources(8, 32, 0)})
	x.Release("z1-w0", "j", resources(8, 32, 0))
	x.Release("z1-w1", "j", resources(1, 1, 0))
	if free, _ := x.Free("z1-w0"); free != resources(8, 32, 0) || !x.Reserved().IsZero() || len(x.countsByJob) != 0 {
		t.Fatalf("free capacity is %v with %v reserved by %d jobs", free, x.Reserved(), len(x.countsByJob))
	}
}
