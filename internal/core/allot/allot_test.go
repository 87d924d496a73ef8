package allot

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func doc(limit int64, held map[string]int64) Document {
	d := New()
	it := Item{Limit: Units(limit), Held: map[string]Vector{}, Demand: map[string]Vector{}}
	for h, n := range held {
		d.Holders[h] = Holder{Region: "r"}
		it.Held[h] = Units(n)
		it.Demand[h] = Units(n)
	}
	it.normalize()
	d.Items["t"] = it
	return d
}

func heldUnits(d Document) map[string]int64 {
	m := make(map[string]int64)
	for h, v := range d.Items["t"].Held {
		m[h] = v[0]
	}
	return m
}

func TestEntitlements(t *testing.T) {
	big := int64(1e12)
	cases := []struct {
		name   string
		limit  int64
		demand map[string]int64
		want   map[string]int64
	}{
		{"all fit", 10, map[string]int64{"a": 3, "b": 4}, map[string]int64{"a": 3, "b": 4}},
		{"in proportion", 10, map[string]int64{"a": 30, "b": 10}, map[string]int64{"a": 8, "b": 2}},
		{"largest fraction", 10, map[string]int64{"a": 10, "b": 20}, map[string]int64{"a": 3, "b": 7}},
		{"equal fractions by name", 3, map[string]int64{"a": 1, "b": 1, "c": 1, "d": 1}, map[string]int64{"a": 1, "b": 1, "c": 1, "d": 0}},
		{"no limit", 0, map[string]int64{"a": 5}, map[string]int64{"a": 0}},
		{"no demand", 5, map[string]int64{}, map[string]int64{}},
		{"products above 64 bits", big, map[string]int64{"a": big, "b": big}, map[string]int64{"a": big / 2, "b": big / 2}},
	}
	for _, c := range cases {
		demand := make(map[string]Vector)
		for h, n := range c.demand {
			demand[h] = Units(n)
		}
		got := make(map[string]int64)
		for h, v := range Entitlements(Units(c.limit), demand) {
			got[h] = v[0]
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPlan(t *testing.T) {
	uses := func(inUse, demand int64) map[string]ItemUsage {
		return map[string]ItemUsage{"t": {InUse: Units(inUse), Demand: Units(demand)}}
	}
	limit := func(config uint64, n int64) Limits {
		return Limits{Config: config, Items: map[string]Vector{"t": Units(n)}}
	}
	cases := []struct {
		name   string
		doc    Document
		limits Limits
		own    string
		uses   map[string]ItemUsage
		want   map[string]int64
		owed   int64
		same   bool // no write is due
	}{
		{"claim of the remainder", doc(10, map[string]int64{"a": 2, "b": 3}), limit(0, 10), "a", uses(2, 5), map[string]int64{"a": 5, "b": 3}, 0, false},
		{"claim stops at the limit", doc(10, map[string]int64{"a": 2, "b": 7}), limit(0, 10), "a", uses(2, 9), map[string]int64{"a": 3, "b": 7}, 0, false},
		{"nothing to do", doc(10, map[string]int64{"a": 2, "b": 3}), limit(0, 10), "a", uses(1, 2), map[string]int64{"a": 2, "b": 3}, 0, true},
		{"small fall is not written", doc(4, map[string]int64{"a": 4}), limit(0, 4), "a", uses(1, 1), map[string]int64{"a": 4}, 0, true},
		{"limit lowered, unused returned", doc(10, map[string]int64{"a": 6, "b": 4}), limit(1, 5), "a", uses(3, 6), map[string]int64{"a": 3, "b": 4}, 2, false},
		{"limit lowered, all used", doc(10, map[string]int64{"a": 6, "b": 4}), limit(1, 5), "a", uses(6, 6), map[string]int64{"a": 6, "b": 4}, 5, false},
		{"limit raised", doc(10, map[string]int64{"a": 6, "b": 4}), limit(1, 12), "a", uses(6, 9), map[string]int64{"a": 8, "b": 4}, 0, false},
		{"older configuration", Document{Config: 3, Items: doc(10, map[string]int64{"a": 6}).Items, Holders: map[string]Holder{"a": {}}}, limit(2, 5), "a", uses(6, 6), map[string]int64{"a": 6}, 0, true},
		{"older configuration without the team", Document{Config: 3, Items: doc(10, map[string]int64{"a": 6}).Items, Holders: map[string]Holder{"a": {}}}, Limits{Config: 2}, "a", uses(6, 6), map[string]int64{"a": 6}, 0, true},
		{"team deleted", doc(10, map[string]int64{"a": 6}), Limits{Config: 1, Items: map[string]Vector{}}, "a", uses(2, 2), map[string]int64{"a": 2}, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := c.doc.Clone()
			next, changed := Plan(c.doc, c.limits, []HolderUsage{{Holder: c.own, Items: c.uses}})
			if got := heldUnits(next); !reflect.DeepEqual(got, c.want) || next.Items["t"].Owed[0] != c.owed {
				t.Errorf("got %v, owed %v", got, next.Items["t"].Owed)
			}
			if changed == c.same {
				t.Errorf("changed is %v", changed)
			}
			if err := next.Validate(); err != nil {
				t.Error(err)
			}
			if !reflect.DeepEqual(c.doc.Clone(), before) {
				t.Error("the plan changed the document that it was given")
			}
		})
	}
}

// Guards against a transfer of amounts that the holder has in use, and against keeping
// those that other holders are entitled to.
func TestTransfer(t *testing.T) {
	d := doc(10, map[string]int64{"a": 10})
	d.Holders["b"] = Holder{Region: "r"}
	limits := Limits{Items: map[string]Vector{"t": Units(10)}}
	plan := func(holder string, inUse, demand int64) {
		d, _ = Plan(d, limits, []HolderUsage{{Holder: holder, Items: map[string]ItemUsage{"t": {InUse: Units(inUse), Demand: Units(demand)}}}})
	}
	plan("b", 0, 10)
	plan("a", 8, 10)
	if got := heldUnits(d); got["a"] != 8 || got["b"] != 2 {
		t.Fatalf("got %v", got)
	}
	plan("a", 3, 10)
	if got := heldUnits(d); got["a"] != 5 || got["b"] != 5 {
		t.Fatalf("got %v", got)
	}
	plan("a", 0, 0)
	if got := heldUnits(d); got["a"] != 0 || got["b"] != 10 {
		t.Fatalf("got %v", got)
	}
}

func TestHolders(t *testing.T) {
	d := doc(10, map[string]int64{"a": 4, "b": 6})
	var revoked *RevokedError
	var epoch *EpochError
	if _, ok := d.Reclaim("a"); ok {
		t.Fatal("a holder was reclaimed without a revocation")
	}
	d, ok := d.Revoke("a")
	if !ok || !errors.As(d.Authorize("a", 0), &revoked) || !d.Held("t", "a").IsZero() {
		t.Fatal("a revoked holder may still use its amount")
	}
	if r := d.Items["t"].Remainder(); !r.IsZero() {
		t.Fatalf("the amount of a revoked holder can be claimed: %v", r)
	}
	next, changed := Plan(d, Limits{Items: map[string]Vector{"t": Units(10)}}, []HolderUsage{{Holder: "a", Items: map[string]ItemUsage{"t": {Demand: Units(9)}}}})
	if changed || !next.Holders["a"].Revoked {
		t.Fatal("a plan was made for a revoked holder")
	}
	d, _ = d.Reclaim("a")
	if r := d.Items["t"].Remainder(); r != Units(4) {
		t.Fatalf("remainder %v after the reclaim", r)
	}
	d, err := d.SetEpoch("p", 2)
	if err != nil || d.Authorize("p", 2) != nil || !errors.As(d.Authorize("p", 1), &epoch) {
		t.Fatalf("set epoch: %v", err)
	}
	if _, err = d.SetEpoch("p", 2); !errors.As(err, &epoch) {
		t.Fatal("the same epoch was accepted twice")
	}
}

// Guards against a listed item that is added without a demand, is missing for the first
// holder that asks, or is not removed once nothing of it is held.
func TestListedItems(t *testing.T) {
	d := New()
	d, _ = d.Join("a", "r")
	d, _ = d.Join("b", "r")
	listed := Limits{FromList: true, Items: map[string]Vector{"s": Units(8)}}
	d, _ = Plan(d, listed, []HolderUsage{{Holder: "b"}})
	if len(d.Items) != 0 {
		t.Fatal("an item was added without a demand")
	}
	d, _ = Plan(d, listed, []HolderUsage{{Holder: "a", Items: map[string]ItemUsage{"s": {Demand: Units(8)}}}})
	if d.Held("s", "a") != Units(8) {
		t.Fatalf("got %+v", d)
	}
	d, _ = d.Leave("a")
	d, _ = Plan(d, Limits{FromList: true}, []HolderUsage{{Holder: "b"}})
	if len(d.Items) != 0 {
		t.Fatalf("the item was not removed: %+v", d)
	}
}

// Guards against starting anything while the holders have more than a lowered limit,
// and against allowances that still exceed the limit once stop is set.
func TestAllowance(t *testing.T) {
	d := doc(10, map[string]int64{"a": 6, "b": 4})
	cases := []struct {
		limit  int64
		stop   bool
		a, b   int64
		frozen bool
	}{
		{10, true, 6, 4, false},
		{20, true, 6, 4, false},
		{5, false, 6, 4, true},
		{5, true, 3, 2, true},
		{0, true, 0, 0, true},
	}
	for _, c := range cases {
		a := d.AllowanceOf("t", "a", Units(c.limit), c.stop)
		b := d.AllowanceOf("t", "b", Units(c.limit), c.stop)
		if a.Amount != Units(c.a) || b.Amount != Units(c.b) || a.Frozen != c.frozen || b.Frozen != c.frozen {
			t.Errorf("limit %d: got %+v %+v", c.limit, a, b)
		}
	}
}

// Makes random plans for 8 holders. Guards against a violated invariant, and against
// taking from a holder what it has in use.
func TestRandomPlansKeepInvariant(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := New()
		inUse := make([]int64, 8)
		for i := range inUse {
			d, _ = d.Join(fmt.Sprintf("h%d", i), "r")
		}
		limits := Limits{}
		for range 100 {
			if random.IntN(10) == 0 {
				limits = Limits{Config: limits.Config + 1, Items: map[string]Vector{"t": Units(random.Int64N(60))}}
			}
			i := random.IntN(len(inUse))
			name := fmt.Sprintf("h%d", i)
			held := d.Held("t", name)[0]
			inUse[i] = random.Int64N(held + 1)
			use := ItemUsage{InUse: Units(inUse[i]), Demand: Units(random.Int64N(40)), Floor: Units(random.Int64N(3))}
			next, _ := Plan(d, limits, []HolderUsage{{Holder: name, Items: map[string]ItemUsage{"t": use}}})
			if err := next.Validate(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			before, after := d.Items["t"], next.Items["t"]
			if grew := after.TotalHeld().Sub(before.TotalHeld()); grew[0] > 0 && !after.TotalHeld().AtMost(after.Limit) {
				t.Fatalf("seed %d: the sum grew above the limit: %+v", seed, after)
			}
			for j := range inUse {
				h := fmt.Sprintf("h%d", j)
				if next.Held("t", h)[0] < inUse[j] {
					t.Fatalf("seed %d: %s has %d in use but holds %v", seed, h, inUse[j], next.Held("t", h))
				}
			}
			d = next
		}
		data, err := Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Decode(data); err != nil || !reflect.DeepEqual(back, d.Clone()) {
			t.Fatalf("seed %d: round trip: %v", seed, err)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, teams := range []int{6, 60, 260} {
		d := New()
		limits := Limits{Config: 1, Items: make(map[string]Vector)}
		for i := range teams {
			limits.Items[fmt.Sprintf("team-with-a-long-name-%03d", i)] = Vector{90_000_000, 375_000_000, 400}
		}
		for h := range 8 {
			holder := fmt.Sprintf("instance-%d/1", h)
			d, _ = d.Join(holder, "region")
			uses := make(map[string]ItemUsage)
			for name := range limits.Items {
				uses[name] = ItemUsage{Demand: Vector{10_000_000, 40_000_000, 40}}
			}
			d, _ = Plan(d, limits, []HolderUsage{{Holder: holder, Items: uses}})
		}
		data, err := Encode(d)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("plan/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				Plan(d, limits, []HolderUsage{{Holder: "instance-0/1"}})
			}
			b.ReportMetric(float64(len(data)), "doc-bytes")
		})
		b.Run(fmt.Sprintf("decode/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against accepting a document that is malformed, lists a holder twice, has
// amounts without a holder or violates its invariant.
func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	cases := []struct {
		name, data string
		ok         bool
	}{
		{"valid", `{"config":1,"holders":[{"name":"a"}],"items":{"t":{"limit":[4, 5],"held":[3]}}}`, true},
		{"above the limit", `{"holders":[{"name":"a"}],"items":{"t":{"limit":4,"held":[5]}}}`, false},
		{"negative", `{"holders":[{"name":"a"}],"items":{"t":{"limit":4,"held":[-1]}}}`, false},
		{"holder twice", `{"holders":[{"name":"a"},{"name":"a"}],"items":{}}`, false},
		{"more amounts than holders", `{"holders":[{"name":"a"}],"items":{"t":{"limit":4,"held":[1,1]}}}`, false},
		{"four components", `{"holders":[],"items":{"t":{"limit":[1,2,3,4]}}}`, false},
		{"fraction", `{"holders":[],"items":{"t":{"limit":1.5}}}`, false},
		{"nested", `{"holders":[],"items":{"t":{"limit":[[1]]}}}`, false},
		{"text", `{"holders":[],"items":{"t":{"limit":"1"}}}`, false},
		{"unknown field", `{"holders":[],"items":{},"more":1}`, false},
	}
	for _, c := range cases {
		d, err := Decode([]byte(c.data))
		if (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
		if c.ok && (d.Items["t"].Limit != Vector{4, 5} || d.Held("t", "a") != Units(3)) {
			t.Errorf("%s: got %+v", c.name, d)
		}
	}
}
