package confdoc

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

var testHash = strings.Repeat("ab", 32)

func teamRow(share float64) domain.TeamRow {
	return domain.TeamRow{Share: share, Limit: domain.Resources{CPUMilli: 1000, MemoryMB: 1000}, LimitRequests: 10}
}

// documentFromEdits returns an empty document with the edits applied.
func documentFromEdits(t testing.TB, edits ...Edit) domain.ConfigDocument {
	t.Helper()
	doc := Clone(domain.ConfigDocument{})
	for i, e := range edits {
		e.ID = fmt.Sprintf("build-%d", i)
		next, _, err := Apply(doc, e)
		if err != nil {
			t.Fatalf("edit %d: %v", i, err)
		}
		doc = next
	}
	return doc
}

func grantEdit(id string, team domain.TeamID, operator bool) Edit {
	return Edit{GrantKey: &GrantKey{KeyID: id, Team: team, SecretSHA256: testHash, Granted: time.Unix(0, 0).UTC(), Operator: operator}}
}

func exampleDocument(t testing.TB) domain.ConfigDocument {
	return documentFromEdits(t,
		Edit{SetTeam: &SetTeam{Team: "marine", Row: teamRow(2)}},
		Edit{SetTeam: &SetTeam{Team: "county", Row: teamRow(1)}},
		grantEdit("k1", "marine", true),
		grantEdit("k2", "county", false),
		Edit{SetQueue: &SetQueue{Queue: "render", Row: domain.QueueRow{MaxWaiting: 5, TimeoutMS: 1000}}},
	)
}

// Guards against an edit that is applied although it is based on an outdated revision, and against a
// conflict that does not name the current revision or shows the hash of a secret.
func TestApplyRejectsOutdatedRevisions(t *testing.T) {
	base := exampleDocument(t)
	one := []domain.PartitionRow{{ID: "p1", Region: "lulea", Zones: []domain.ZoneID{"z1"}}}
	cases := []struct {
		name     string
		edit     Edit
		conflict string // path of the expected conflict
		current  uint64
	}{
		{name: "set team", edit: Edit{SetTeam: &SetTeam{Team: "marine", Based: 1, Row: teamRow(3)}}},
		{name: "set team stale", edit: Edit{SetTeam: &SetTeam{Team: "marine", Based: 0, Row: teamRow(3)}}, conflict: "teams/marine", current: 1},
		{name: "set missing team", edit: Edit{SetTeam: &SetTeam{Team: "port", Based: 1, Row: teamRow(3)}}, conflict: "teams/port"},
		{name: "delete team", edit: Edit{DeleteTeam: &DeleteTeam{Team: "county", Based: 2}}},
		{name: "delete team stale", edit: Edit{DeleteTeam: &DeleteTeam{Team: "county", Based: 1}}, conflict: "teams/county", current: 2},
		{name: "delete missing team", edit: Edit{DeleteTeam: &DeleteTeam{Team: "port"}}, conflict: "teams/port"},
		{name: "grant taken key", edit: grantEdit("k1", "marine", false), conflict: "keys/k1", current: 3},
		{name: "withdraw key", edit: Edit{WithdrawKey: &WithdrawKey{KeyID: "k2", Based: 4}}},
		{name: "withdraw key stale", edit: Edit{WithdrawKey: &WithdrawKey{KeyID: "k2", Based: 3}}, conflict: "keys/k2", current: 4},
		{name: "withdraw missing key", edit: Edit{WithdrawKey: &WithdrawKey{KeyID: "k9"}}, conflict: "keys/k9"},
		{name: "set queue stale", edit: Edit{SetQueue: &SetQueue{Queue: "render", Row: domain.QueueRow{MaxWaiting: 1, TimeoutMS: 1}}}, conflict: "queues/render", current: 5},
		{name: "delete queue", edit: Edit{DeleteQueue: &DeleteQueue{Queue: "render", Based: 5}}},
		{name: "delete missing queue", edit: Edit{DeleteQueue: &DeleteQueue{Queue: "none"}}, conflict: "queues/none"},
		{name: "set partitions", edit: Edit{SetPartitions: &SetPartitions{Partitions: one}}},
		{name: "set partitions stale", edit: Edit{SetPartitions: &SetPartitions{Based: one, Partitions: one}}, conflict: "partitions"},
		{name: "import", edit: Edit{Import: &Import{BasedVersion: 5, Table: Table{Partitions: one}}}},
		{name: "import stale", edit: Edit{Import: &Import{BasedVersion: 4, Table: Table{Partitions: one}}}, conflict: "document", current: 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.edit.ID = "edit"
			next, applied, err := Apply(base, c.edit)
			var conflict *ConflictError
			if c.conflict == "" {
				if err != nil || applied.Version != 6 || next.Version != 6 {
					t.Fatalf("got version %d, %+v, error %v", next.Version, applied, err)
				}
				return
			}
			if !errors.As(err, &conflict) || conflict.Path != c.conflict || conflict.Current != c.current || conflict.Version != 5 {
				t.Fatalf("got %+v, error %v", conflict, err)
			}
			if conflict.Key != nil && conflict.Key.SecretSHA256 != "" {
				t.Fatal("the conflict shows the hash of the secret")
			}
			if next.Version != 5 {
				t.Fatalf("the rejected edit returned a document of version %d", next.Version)
			}
		})
	}
	if base.Version != 5 || len(base.Teams) != 2 || len(base.Keys) != 2 {
		t.Fatal("an edit changed the document that it was given")
	}
}

// Guards against keys of a deleted team that become valid again for a new team of the same name.
func TestDeleteTeamWithdrawsKeys(t *testing.T) {
	doc, _, err := Apply(exampleDocument(t), Edit{ID: "e", DeleteTeam: &DeleteTeam{Team: "county", Based: 2}})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := doc.Keys["k2"]; ok {
		t.Fatal("key of the deleted team is still granted")
	}
}

// Guards against an import that raises the revision of unchanged rows, which would make pending edits
// of those rows conflict.
func TestImportKeepsRevisions(t *testing.T) {
	base := exampleDocument(t)
	teams := map[domain.TeamID]domain.TeamRow{"marine": teamRow(2), "county": teamRow(9)}
	doc, _, err := Apply(base, Edit{ID: "e", Import: &Import{BasedVersion: 5, Table: Table{Teams: teams, Keys: base.Keys}}})
	if err != nil {
		t.Fatal(err)
	}
	if doc.Teams["marine"].Revision != 1 || doc.Teams["county"].Revision != 6 || doc.Keys["k1"].Revision != 3 {
		t.Fatalf("revisions are %+v %+v", doc.Teams, doc.Keys)
	}
}

// Guards against an edit that is applied twice when it is retried: its ID must be recognized among the
// last 256 edits.
func TestRetriedEditIsAppliedOnce(t *testing.T) {
	doc := exampleDocument(t)
	first := Edit{ID: "first", SetTeam: &SetTeam{Team: "marine", Based: 1, Row: teamRow(7)}}
	doc, applied, err := Apply(doc, first)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxRecentEdits - 1 {
		e := Edit{ID: fmt.Sprintf("more-%d", i), SetTeam: &SetTeam{Team: "county", Based: doc.Teams["county"].Revision, Row: teamRow(1)}}
		if doc, _, err = Apply(doc, e); err != nil {
			t.Fatal(err)
		}
	}
	_, again, err := Apply(doc, first)
	if err != nil || !again.Repeated || again.Version != applied.Version {
		t.Fatalf("got %+v, error %v", again, err)
	}
	doc = BumpVersion(doc, "one-more")
	if _, _, err = Apply(doc, first); err == nil || len(doc.RecentEdits) != maxRecentEdits {
		t.Fatalf("retry of an edit that is no longer among the last %d: error %v, %d edit IDs kept", maxRecentEdits, err, len(doc.RecentEdits))
	}
}

// Guards against validation that stops at the first fault, or shows a secret that was pasted in place
// of its hash.
func TestValidateListsEveryFault(t *testing.T) {
	table := Table{
		Teams: map[domain.TeamID]domain.TeamRow{
			"Marine": teamRow(1),
			"neg":    {Share: -1, Limit: domain.Resources{CPUMilli: -1, MemoryMB: -2, Accelerators: 2e12}, LimitRequests: -4},
		},
		Keys: map[string]domain.KeyRow{"k1": {Team: "absent", SecretSHA256: "ap_x_secret"}},
		Queues: map[domain.QueueID]domain.QueueRow{
			"q": {MaxWaiting: 0, TimeoutMS: -1},
		},
		Partitions: []domain.PartitionRow{
			{ID: "p", Region: "", Zones: []domain.ZoneID{"z"}},
			{ID: "p", Region: "r", Zones: []domain.ZoneID{"z"}},
			{ID: "r", Region: "r"},
		},
	}
	_, _, err := Apply(exampleDocument(t), Edit{ID: "e", Import: &Import{BasedVersion: 5, Table: table}})
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	want := []string{
		"teams/Marine", "teams/neg/share", "teams/neg/limit/cpu_milli", "teams/neg/limit/memory_mb",
		"teams/neg/limit/accelerators", "teams/neg/limit_requests", "keys/k1/team", "keys/k1/secret_sha256",
		"queues/q/max_waiting", "queues/q/timeout_ms", "partitions/0/region", "partitions/1/id",
		"partitions/1/zones/0", "partitions/2/zones", "keys",
	}
	var got []string
	for _, f := range invalid.Faults {
		got = append(got, f.Path)
		if f.Given == "" || f.Allowed == "" || f.Remedy == "" {
			t.Errorf("fault %+v is incomplete", f)
		}
		if strings.Contains(f.Error(), "ap_x_secret") {
			t.Errorf("fault shows the secret: %v", f)
		}
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("got  %v\nwant %v", got, want)
	}
}
