package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/port"
)

// Guards against an owner that was killed and whose claim everybody waits for,
// and against a claim that is ended while its process may still act: one that
// is silent or frozen, or that refused a single connection.
func TestClaimOfGoneProcess(t *testing.T) {
	gone := &port.ProcessTerminatedError{Address: "a", Err: errors.New("refused")}
	silent := context.DeadlineExceeded
	for name, c := range map[string]struct {
		probes    []error
		suspected string
		takenOver bool
	}{
		"killed":            {probes: []error{gone}, suspected: "a", takenOver: true},
		"silent":            {probes: []error{silent}, suspected: "a"},
		"answers":           {probes: []error{nil}, suspected: "a"},
		"refused once":      {probes: []error{gone, nil}, suspected: "a"},
		"another's address": {probes: []error{gone}, suspected: "c"},
	} {
		t.Run(name, func(t *testing.T) {
			test := newCellTest(t, 50*time.Millisecond)
			test.claimTTL = 5 * time.Second
			var asked atomic.Int64
			test.probe = func(context.Context, string) error {
				n := min(int(asked.Add(1)), len(c.probes))
				return c.probes[n-1]
			}
			a := test.start("a")
			a.owned(t)
			b := test.start("b")
			time.Sleep(200 * time.Millisecond)
			b.owner.Suspect(c.suspected)
			begun := time.Now()
			for time.Since(begun) < 1500*time.Millisecond {
				select {
				case s := <-b.seats:
					if s.Local != nil {
						if !c.takenOver {
							t.Fatalf("the cell was taken over after %v", time.Since(begun))
						}
						return
					}
				case <-time.After(20 * time.Millisecond):
				}
			}
			if c.takenOver {
				t.Errorf("the cell was not taken over within %v, the claim lives for %v", time.Since(begun), test.claimTTL)
			}
		})
	}
}
