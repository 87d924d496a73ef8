package peergnet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

var (
	testSecret = []byte("a secret of the datagram tests")
	testTime   = time.UnixMilli(1_700_000_000_123)
)

func testCodec(t testing.TB, secret []byte) *codec {
	t.Helper()
	c, err := newCodec(secret)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testMessage() *membership.Message {
	return &membership.Message{
		Kind:   membership.KindPing,
		Seq:    7,
		From:   "a",
		To:     "b",
		Target: "c",
		Last:   true,
		Digest: membership.Digest{
			Incarnation: 3, Sequence: 9, Refutation: 2, Revision: 4, ConfigVersion: 5, KnownVersion: 6,
			StoreVersion: 5, StoreAge: 40 * time.Millisecond, EditInFlight: true, ConfirmsAuthority: true, Draining: true,
			Slots:      []membership.QueueSlots{{Queue: "q", Free: 8}},
			Partitions: []membership.OwnedPartition{{ID: "p", Epoch: 11}},
			KnownHash:  1, ViewHash: 2,
		},
		Updates: []membership.Update{
			{Record: membership.Record{ID: "d", Incarnation: 1}, State: membership.StateSuspect, Refutation: 1, Reporter: "a", AcksSuppressed: true},
			{Full: true, Record: membership.Record{
				ID: "e", Incarnation: 2, Address: "10.0.0.1:7000", RequestAddress: "10.0.0.1:8000",
				Location: domain.Location{Region: "r", Zone: "z", Rack: "k"}, Revision: 3, Draining: true,
				Partitions: []membership.OwnedPartition{{ID: "p", Epoch: 1}},
			}},
		},
	}
}

// Guards against fields that are lost in encoding or decoding.
func TestEncodedMessageDecodesUnchanged(t *testing.T) {
	c := testCodec(t, testSecret)
	bare := &membership.Message{
		Kind: membership.KindAck, From: "a",
		Digest: membership.Digest{Incarnation: 1, Sequence: 1, StoreAge: membership.NoStoreAge},
	}
	for _, m := range []*membership.Message{testMessage(), bare} {
		datagram, err := c.encode(m, testTime)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.decode(datagram, testTime)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("decoded %+v, %v, want %+v", got, err, m)
		}
	}
}

// Guards against store confirmations that appear more recent than they are.
func TestStoreAgeIsRoundedUp(t *testing.T) {
	for _, c := range []struct{ age, want time.Duration }{
		{membership.NoStoreAge, membership.NoStoreAge},
		{0, 0},
		{1, time.Millisecond},
		{time.Millisecond + 1, 2 * time.Millisecond},
		{60 * 24 * time.Hour, membership.NoStoreAge},
	} {
		if got := ageFromWire(ageToWire(c.age)); got != c.want {
			t.Errorf("age %v arrives as %v, want %v", c.age, got, c.want)
		}
	}
}

// Guards against accepting datagrams that were altered, are too old, come from another cell, or exceed a
// limit.
func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	c := testCodec(t, testSecret)
	encode := func(change func(*membership.Message)) []byte {
		m := testMessage()
		change(m)
		datagram, err := c.encode(m, testTime)
		if err != nil {
			t.Fatal(err)
		}
		return datagram
	}
	valid := encode(func(*membership.Message) {})
	flip := func(i int) []byte {
		changed := append([]byte(nil), valid...)
		changed[i] ^= 1
		return changed
	}
	long := strings.Repeat("x", membership.MaxNameBytes+1)
	foreign, err := testCodec(t, []byte("the secret of another cell")).encode(testMessage(), testTime)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		datagram []byte
		now      time.Time
		want     error
	}{
		{"valid", valid, testTime, nil},
		{"empty", nil, testTime, errMalformed},
		{"header only", valid[:headerBytes], testTime, errMalformed},
		{"other format", flip(0), testTime, errMalformed},
		{"changed time", flip(3), testTime, errUnauthenticated},
		{"changed code", flip(1 + timestampBytes), testTime, errUnauthenticated},
		{"changed body", flip(len(valid) - 1), testTime, errUnauthenticated},
		{"truncated", valid[:len(valid)-1], testTime, errUnauthenticated},
		{"other secret", foreign, testTime, errUnauthenticated},
		{"old", valid, testTime.Add(MaxClockSkew + time.Millisecond), errClockSkew},
		{"from the future", valid, testTime.Add(-MaxClockSkew - time.Millisecond), errClockSkew},
		{"unknown kind", encode(func(m *membership.Message) { m.Kind = 99 }), testTime, errMalformed},
		{"no sender", encode(func(m *membership.Message) { m.From = "" }), testTime, errMalformed},
		{"long name", encode(func(m *membership.Message) { m.Target = domain.InstanceID(long) }), testTime, errMalformed},
		{"no incarnation", encode(func(m *membership.Message) { m.Digest.Incarnation = 0 }), testTime, errMalformed},
		{"unknown state", encode(func(m *membership.Message) { m.Updates[0].State = 9 }), testTime, errMalformed},
		{"no address", encode(func(m *membership.Message) { m.Updates[1].Record.Address = "" }), testTime, errMalformed},
		{"too many queues", encode(func(m *membership.Message) {
			m.Digest.Slots = make([]membership.QueueSlots, membership.MaxQueues+1)
		}), testTime, errMalformed},
	}
	for _, tc := range cases {
		if _, err := c.decode(tc.datagram, tc.now); !errors.Is(err, tc.want) {
			t.Errorf("%s: decode returned %v, want %v", tc.name, err, tc.want)
		}
	}
}

// Guards against core/membership underestimating the size of a message, so that its datagram exceeds
// MaxDatagramBytes. All names, and the lists of queues, partitions and updates, are as long as allowed.
func TestLargestMessagesFitDatagram(t *testing.T) {
	c := testCodec(t, testSecret)
	name := func(prefix string, i int) string {
		s := fmt.Sprintf("%s%d-", prefix, i)
		return s + strings.Repeat("x", membership.MaxNameBytes-len(s))
	}
	record := func(i int) membership.Record {
		r := membership.Record{
			ID: domain.InstanceID(name("i", i)), Incarnation: 1 << 63, Address: name("a", i), RequestAddress: name("r", i),
			Location: domain.Location{Region: domain.RegionID(name("g", 0)), Zone: domain.ZoneID(name("z", 0)), Rack: domain.RackID(name("k", 0))},
		}
		for p := range membership.MaxPartitions {
			r.Partitions = append(r.Partitions, membership.OwnedPartition{ID: domain.PartitionID(fmt.Sprintf("partition-%d", p)), Epoch: 1 << 63})
		}
		return r
	}
	now := testTime
	n := membership.New(membership.DefaultConfig(record(0), nil, 1), now)
	var slots []membership.QueueSlots
	for i := range 2 * membership.MaxQueues {
		slots = append(slots, membership.QueueSlots{Queue: domain.QueueID(fmt.Sprintf("queue-%02d", i)), Free: 1 << 31})
	}
	n.SetSlots(slots)
	n.StoreConfirmed(1<<63, now)
	largest := 0
	check := func(out membership.Output) {
		for _, d := range out.Datagrams {
			datagram, err := c.encode(&d.Message, now)
			if err != nil {
				t.Fatal(err)
			}
			largest = max(largest, len(datagram))
		}
	}
	for i := range 20 {
		n.AddFromRegistry(record(i + 1))
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		check(n.Tick(now))
	}
	pull := &membership.Message{Kind: membership.KindPull, Seq: 1, From: record(1).ID, Digest: membership.Digest{Incarnation: 1 << 63, Sequence: 1 << 63}}
	check(n.Receive(now, "10.0.0.9:7000", pull))
	if largest < MaxDatagramBytes*3/4 {
		t.Errorf("the largest datagram has %d bytes, so the limit was not tested", largest)
	}
}

// Guards against accepting a sequence number twice, and against rejecting reordered ones.
func TestReplayFilterAcceptsEachSequenceOnce(t *testing.T) {
	type step struct {
		incarnation, sequence uint64
		want                  bool
	}
	cases := map[string][]step{
		"in order":            {{1, 1, true}, {1, 2, true}, {1, 2, false}, {1, 1, false}},
		"reordered":           {{1, 10, true}, {1, 8, true}, {1, 9, true}, {1, 8, false}},
		"edge of the window":  {{1, 1000, true}, {1, 1000 - windowBits + 1, true}, {1, 1000 - windowBits, false}},
		"gap clears old bits": {{1, 5, true}, {1, 5 + windowBits, true}, {1, 6 + windowBits, true}, {1, 5 + 3*windowBits, true}, {1, 5 + windowBits, false}},
		"restart":             {{1, 50, true}, {2, 1, true}, {1, 51, false}, {2, 1, false}, {2, 2, true}},
	}
	for name, steps := range cases {
		f := newReplayFilter()
		for i, s := range steps {
			m := &membership.Message{From: "a", Digest: membership.Digest{Incarnation: s.incarnation, Sequence: s.sequence}}
			if got := f.accept(m, testTime); got != s.want {
				t.Errorf("%s: step %d accepted %v, want %v", name, i, got, s.want)
			}
		}
	}
}

// FuzzDecode guards against bodies that crash the decoder, and against accepted bodies whose content is
// lost: an accepted message must stay the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	c := testCodec(f, testSecret)
	body, err := c.enc.Marshal(toWire(testMessage()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := c.decodeBody(body)
		if err != nil {
			if m != nil {
				t.Fatal("decodeBody returned both a message and an error")
			}
			return
		}
		reencoded, err := c.enc.Marshal(toWire(m))
		if err != nil {
			t.Fatal(err)
		}
		m2, err := c.decodeBody(reencoded)
		if err != nil || !reflect.DeepEqual(m, m2) {
			t.Fatalf("decoded %+v, then %+v, %v", m, m2, err)
		}
	})
}
