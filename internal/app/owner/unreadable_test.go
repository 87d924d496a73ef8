package owner

import (
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Guards against answers that take a stored job which cannot be read for one that does not exist: a submission under its ID
// would replace it, and its owner would be told that it is unknown.
func TestUnreadableJobIsNotTakenAsUnknown(t *testing.T) {
	c := newFleetTest(t, 1, time.Minute)
	first := c.start("a")
	if r := c.submit(first.awaitOwned(t), "j", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	first.stop()
	<-first.done
	entry, err := c.store.Get(t.Context(), jobKey("j"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.store.Commit(t.Context(), port.Txn{If: []port.Condition{{Key: jobKey("j"), Revision: entry.Revision}},
		Puts: []port.Put{{Key: jobKey("j"), Value: []byte{0xff}}}}); err != nil {
		t.Fatal(err)
	}
	cell := c.start("b").awaitOwned(t)
	if r := c.submit(cell, "j", 1); r.Accepted || !r.OutcomeUnknown {
		t.Errorf("a submission under the ID is answered with %+v, want an unknown outcome", r)
	}
	if r, err := cell.State(t.Context(), port.JobRequest{Job: domain.JobID("j"), Team: "team"}); err == nil {
		t.Errorf("the state is answered with %+v, want an error", r)
	}
}
