package confdoc

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

// Guards against input that encoding/json would silently drop or reinterpret, such as unknown fields
// and duplicate names.
func TestDecodeRejectsAmbiguousInput(t *testing.T) {
	cases := []struct {
		name, data string
		ok         bool
	}{
		{"empty object", `{}`, true},
		{"unknown field", `{"version":1,"color":2}`, false},
		{"unknown field in a row", `{"teams":{"a":{"share":1,"color":2}}}`, false},
		{"repeated name", `{"teams":{"a":{"share":1},"a":{"share":2}}}`, false},
		{"repeated name in another case", `{"teams":{"a":{"share":1,"Share":2}}}`, false},
		{"folded letter", `{"teams":{"a":{"ſhare":1}}}`, false},
		{"trailing data", `{} {}`, false},
		{"invalid row", `{"teams":{"a":{"share":-1}}}`, false},
		{"revision above version", `{"version":1,"teams":{"a":{"share":1,"revision":2}}}`, false},
		{"truncated", `{"version":1`, false},
		{"deep", `[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]`, false},
		{"no data", ``, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Decode([]byte(c.data)); (err == nil) != c.ok {
				t.Fatalf("error %v", err)
			}
		})
	}
	var tooLarge *TooLargeError
	if _, err := Decode(make([]byte, MaxBytes+1)); !errors.As(err, &tooLarge) {
		t.Fatalf("got %v", err)
	}
}

// documentWithTeams returns a document with the given number of teams, four keys for each team, and
// a full list of recent edits.
func documentWithTeams(teams int) domain.ConfigDocument {
	doc := Clone(domain.ConfigDocument{Version: 100_000})
	for i := range teams {
		id := domain.TeamID(fmt.Sprintf("team-with-a-long-name-%03d", i))
		doc.Teams[id] = domain.TeamRow{
			Revision: 99_000, Share: 12.5, LimitRequests: 4000,
			Limit: domain.Resources{CPUMilli: 90_000_000, MemoryMB: 375_000_000, Accelerators: 400},
		}
		for k := range 4 {
			doc.Keys[fmt.Sprintf("key%05d", i*4+k)] = domain.KeyRow{
				Revision: 99_000, Team: id, SecretSHA256: testHash, Operator: k == 0,
				Granted: time.Unix(1_800_000_000, 123_456_789).UTC(),
			}
		}
	}
	for i := range maxRecentEdits {
		doc.RecentEdits = append(doc.RecentEdits, domain.AppliedEdit{ID: fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i), Version: 99_744 + uint64(i)})
	}
	return doc
}

// Guards against an encoding that grows until the 260 teams of the two-year target no longer fit into
// half of the store's size limit.
func TestDocumentOfTargetSizeFits(t *testing.T) {
	doc := documentWithTeams(260)
	data, err := Encode(doc)
	if err != nil || len(data) > MaxBytes/2 {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
	back, err := Decode(data)
	if err != nil || !reflect.DeepEqual(back, doc) {
		t.Fatalf("the decoded document differs, error %v", err)
	}
	var tooLarge *TooLargeError
	if _, err := Encode(documentWithTeams(2000)); !errors.As(err, &tooLarge) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a decoded document that changes in a round trip through Encode and Decode, and
// against an accepted edit that makes the document invalid.
func FuzzDecode(f *testing.F) {
	small, _ := Encode(documentWithTeams(2))
	f.Add(small)
	f.Add([]byte(`{"version":3,"teams":{"a":{"share":1}},"partitions":[{"id":"p","region":"r","zones":["z"]}]}`))
	f.Add([]byte(`{"teams":{"a":{"share":1},"a":{"share":2}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(doc)
		if err != nil {
			t.Skip("the encoded document exceeds MaxBytes")
		}
		back, err := Decode(again)
		if err != nil || !reflect.DeepEqual(back, doc) {
			t.Fatalf("round trip differs: %v\n%+v\n%+v", err, doc, back)
		}
		next, _, err := Apply(doc, Edit{ID: "fuzz", SetTeam: &SetTeam{Team: "new-team", Based: doc.Teams["new-team"].Revision, Row: teamRow(1)}})
		if err == nil && len(Validate(next)) > 0 {
			t.Fatalf("an accepted edit left faults: %v", Validate(next))
		}
	})
}

func BenchmarkDocument(b *testing.B) {
	for _, teams := range []int{6, 60, 260} {
		doc := documentWithTeams(teams)
		data, err := Encode(doc)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("decode/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "doc-bytes")
		})
		edit := Edit{ID: "e", SetTeam: &SetTeam{Team: "team-with-a-long-name-000", Based: 99_000, Row: teamRow(1)}}
		b.Run(fmt.Sprintf("apply/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := Apply(doc, edit); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("encode/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				if _, err := Encode(doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
