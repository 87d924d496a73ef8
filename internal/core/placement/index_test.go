package placement

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

func res(cores, gb, accelerators int64) domain.Resources {
	return domain.Resources{CPUMilli: cores * 1000, MemoryMB: gb * 1000, Accelerators: accelerators}
}

// newTestIndex returns two zones of four workers each, two to a rack. In each
// zone the last worker has two accelerators.
func newTestIndex(packing float64) *index {
	x := newIndex(Options{Packing: packing})
	for _, zone := range []string{"z1", "z2"} {
		for i := range 4 {
			n := Node{
				ID:       domain.WorkerID(fmt.Sprintf("%s-w%d", zone, i)),
				Location: domain.Location{Zone: domain.ZoneID(zone), Rack: domain.RackID(fmt.Sprint("r", i/2))},
				Capacity: res(8, 32, 0),
			}
			if i == 3 {
				n.Capacity.Accelerators = 2
			}
			x.Upsert(n)
		}
	}
	return x
}

// Guards against choices that break a preference or a filter.
func TestPlace(t *testing.T) {
	cases := []struct {
		name    string
		packing float64
		before  func(x *index)
		r       Request
		want    domain.WorkerID
	}{
		{"equal workers by ID", 1, nil, Request{Size: res(1, 4, 0)}, "z1-w0"},
		{"packing takes the fullest", 1, func(x *index) { x.Reserve("z1-w1", "j", res(4, 16, 0)) }, Request{Size: res(1, 4, 0)}, "z1-w1"},
		{"spreading takes the emptiest", 0, func(x *index) { x.Reserve("z1-w0", "j", res(4, 16, 0)) }, Request{Size: res(1, 4, 0)}, "z1-w1"},
		{"accelerators for those that need them", 1, nil, Request{Size: res(1, 4, 1)}, "z1-w3"},
		{"accelerated worker is the last resort", 1, func(x *index) {
			x.Reserve("z1-w3", "j", res(4, 16, 2))
		}, Request{Size: res(1, 4, 0)}, "z1-w0"},
		{"no stranded memory", 1, func(x *index) {
			x.Reserve("z1-w0", "j", res(5, 8, 0))
			x.Reserve("z1-w1", "j", res(2, 20, 0))
		}, Request{Size: res(1, 12, 0)}, "z1-w0"},
		{"zone", 1, nil, Request{Size: res(1, 4, 0), Zones: []domain.ZoneID{"z2"}}, "z2-w0"},
		{"avoided", 1, nil, Request{Size: res(1, 4, 0), Avoid: []domain.WorkerID{"z1-w0"}}, "z1-w1"},
		{"excluded", 1, func(x *index) { x.Exclude("z1-w0", RejectLeaving) }, Request{Size: res(1, 4, 0)}, "z1-w1"},
		{"included again", 1, func(x *index) {
			x.Exclude("z1-w0", RejectLeaving)
			x.Exclude("z1-w0", "")
		}, Request{Size: res(1, 4, 0)}, "z1-w0"},
		{"replicas over zones", 1, func(x *index) { x.Reserve("z1-w0", "s", res(1, 4, 0)) }, Request{Size: res(1, 4, 0), Spread: "s"}, "z2-w0"},
		{"replicas over racks", 1, func(x *index) { x.Reserve("z1-w0", "s", res(1, 4, 0)) },
			Request{Size: res(1, 4, 0), Spread: "s", Zones: []domain.ZoneID{"z1"}}, "z1-w2"},
		{"held for a gang", 1, func(x *index) { x.Hold("g", []domain.WorkerID{"z1-w0"}) }, Request{Size: res(1, 4, 0)}, "z1-w1"},
		{"holder passes", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
		}, Request{Size: res(1, 4, 0), Holder: "g"}, "z1-w0"},
		{"backfill before the gang starts", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.ExpectStart("g", time.Unix(100, 0))
		}, Request{Size: res(1, 4, 0), End: time.Unix(100, 0)}, "z1-w0"},
		{"no backfill beyond the start", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.ExpectStart("g", time.Unix(100, 0))
		}, Request{Size: res(1, 4, 0), End: time.Unix(101, 0)}, "z1-w1"},
		{"room beyond the hold is open", 1, func(x *index) {
			x.HoldRoom("g", res(4, 16, 0), []domain.WorkerID{"z1-w0"})
		}, Request{Size: res(4, 16, 0)}, "z1-w0"},
		{"held room is kept", 1, func(x *index) {
			x.HoldRoom("g", res(3, 4, 0), []domain.WorkerID{"z1-w0", "z1-w0"})
		}, Request{Size: res(3, 4, 0)}, "z1-w1"},
		{"holder uses up what it holds", 1, func(x *index) {
			x.HoldRoom("g", res(4, 16, 0), []domain.WorkerID{"z1-w0"})
			x.Reserve("z1-w0", "g", res(4, 16, 0))
		}, Request{Size: res(4, 16, 0)}, "z1-w0"},
		{"hold ended", 1, func(x *index) {
			x.Hold("g", []domain.WorkerID{"z1-w0"})
			x.Unhold("g")
		}, Request{Size: res(1, 4, 0)}, "z1-w0"},
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

// Guards against wrong counts of rejected workers and a wrong nearest size.
func TestNoFit(t *testing.T) {
	cases := []struct {
		name    string
		before  func(x *index)
		r       Request
		members int
		want    NoFitError
	}{
		{"too large", nil, Request{Size: res(9, 64, 0)}, 1,
			NoFitError{Rejections: []Rejection{{RejectCPU, 8}}, Never: true, Nearest: res(8, 32, 0)}},
		{"memory too large", nil, Request{Size: res(2, 33, 0)}, 1,
			NoFitError{Rejections: []Rejection{{RejectMemory, 8}}, Never: true, Nearest: res(2, 32, 0)}},
		{"full now", func(x *index) { x.Reserve("z1-w3", "j", res(1, 1, 1)) }, Request{Size: res(8, 32, 2), Zones: []domain.ZoneID{"z1"}}, 1,
			NoFitError{Rejections: []Rejection{{RejectZone, 4}, {RejectAccelerators, 4}}}},
		{"one of each", func(x *index) {
			x.Exclude("z1-w0", RejectLeaving)
			x.Exclude("z1-w1", RejectQuarantined)
			x.Exclude("z1-w2", "draining")
			x.Hold("g", []domain.WorkerID{"z1-w3"})
			x.Reserve("z2-w0", "j", res(1, 1, 0))
			x.Reserve("z2-w1", "j", res(0, 1, 0))
			x.Reserve("z2-w2", "j", res(8, 32, 0))
		}, Request{Size: res(8, 32, 0), Avoid: []domain.WorkerID{"z2-w3"}}, 1,
			NoFitError{Rejections: []Rejection{{RejectLeaving, 1}, {RejectQuarantined, 1}, {RejectReserved, 1},
				{RejectCPU, 2}, {RejectMemory, 1}, {RejectAvoided, 1}, {"draining", 1}}}},
		{"gang too large for a zone", nil, Request{Size: res(3, 8, 0)}, 9,
			NoFitError{Rejections: nil, Never: true, Nearest: domain.Resources{CPUMilli: 2666, MemoryMB: 8000}}},
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
				t.Fatalf("error is %v, want no fit", err)
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

// Guards against gangs that are split over zones without being asked to, and
// against candidates that do not hold the gang.
func TestGang(t *testing.T) {
	x := newTestIndex(1)
	x.Reserve("z1-w0", "j", res(1, 1, 0))
	four, err := x.PlaceGang(Request{Size: res(8, 32, 0)}, 4, false)
	if err != nil || x.bySlot[x.slots[four[0]]].zone.id != "z2" {
		t.Fatalf("gang is on %v (%v), want zone z2", four, err)
	}
	if _, err := x.PlaceGang(Request{Size: res(8, 32, 0)}, 5, false); err == nil {
		t.Fatal("gang of five is in a zone of four")
	}
	if seven, err := x.PlaceGang(Request{Size: res(8, 32, 0)}, 7, true); err != nil || len(seven) != 7 {
		t.Fatalf("gang is on %v (%v), want seven workers", seven, err)
	}
	if x.Reserved() != res(1, 1, 0) || x.Total() != res(64, 256, 4) {
		t.Fatalf("reserved is %v of %v", x.Reserved(), x.Total())
	}
	x.Reserve("z2-w0", "j", res(8, 32, 0))
	candidates, ok := x.GangCandidates(Request{Size: res(8, 32, 0)}, 4, false)
	if !ok || len(candidates) != 4 || candidates[3] != "z1-w0" {
		t.Fatalf("candidates are %v, want those of z1 with the one that lacks most last", candidates)
	}
	if _, ok := x.GangCandidates(Request{Size: res(8, 32, 0)}, 9, true); ok {
		t.Fatal("nine candidates of eight workers")
	}
}

// Guards against held room that is counted twice for its holder, and against
// candidates for which more has to free up than for others.
func TestGangHoldAndCandidates(t *testing.T) {
	x := newTestIndex(1)
	for _, id := range []domain.WorkerID{"z1-w0", "z1-w1", "z1-w2", "z1-w3"} {
		x.Reserve(id, "j", res(4, 4, 0))
	}
	x.HoldRoom("g", res(2, 2, 0), []domain.WorkerID{"z1-w0"})
	r := Request{Size: res(2, 2, 0), Holder: "g", Zones: []domain.ZoneID{"z1"}}
	if eight, err := x.PlaceGang(r, 8, false); err != nil || len(eight) != 8 {
		t.Fatalf("gang is on %v (%v), want eight members", eight, err)
	}
	if nine, err := x.PlaceGang(r, 9, false); err == nil {
		t.Fatalf("gang is on %v, which have room for eight", nine)
	}
	x.Reserve("z1-w3", "j", res(3, 3, 0))
	want := []domain.WorkerID{"z1-w0", "z1-w0", "z1-w1", "z1-w1", "z1-w2", "z1-w2", "z1-w3", "z1-w0", "z1-w0"}
	if got, ok := x.GangCandidates(r, 9, false); !ok || !reflect.DeepEqual(got, want) {
		t.Fatalf("candidates are %v, want %v", got, want)
	}
}

// Guards against capacity that appears where a worker comes back before its
// reservations are released, and against a worker that Reserve overcommits.
func TestReserveAndRelease(t *testing.T) {
	x := newTestIndex(1)
	if !x.Reserve("z1-w0", "j", res(8, 32, 0)) || x.Reserve("z1-w0", "j", res(1, 0, 0)) {
		t.Fatal("reservation is refused, or overcommits")
	}
	x.ForceReserve("z1-w0", "k", res(1, 1, 0))
	x.Reserve("z1-w1", "j", res(1, 1, 0))
	x.Remove("z1-w0")
	x.Upsert(Node{ID: "z1-w0", Location: domain.Location{Zone: "z1", Rack: "r0"}, Capacity: res(8, 32, 0)})
	x.Release("z1-w0", "j", res(8, 32, 0))
	x.Release("z1-w1", "j", res(1, 1, 0))
	if free, _ := x.Free("z1-w0"); free != res(8, 32, 0) || !x.Reserved().IsZero() || len(x.jobs) != 0 {
		t.Fatalf("free is %v with %v reserved by %d jobs", free, x.Reserved(), len(x.jobs))
	}
}
