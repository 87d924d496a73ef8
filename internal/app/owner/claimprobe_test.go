package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/port"
)

// Guards against waiting for the claim of a killed owner to expire, and against releasing a claim
// whose process may still act: one that is unresponsive or suspended, or that refused a single
// connection.
func TestReleaseClaimOfTerminatedOwner(t *testing.T) {
	terminated := &port.ProcessTerminatedError{Address: "a", Err: errors.New("refused")}
	unresponsive := context.DeadlineExceeded
	for name, c := range map[string]struct {
		probes      []error
		unreachable string
		takenOver   bool
	}{
		"killed":            {probes: []error{terminated}, unreachable: "a", takenOver: true},
		"unresponsive":      {probes: []error{unresponsive}, unreachable: "a"},
		"answers":           {probes: []error{nil}, unreachable: "a"},
		"refused once":      {probes: []error{terminated, nil}, unreachable: "a"},
		"another's address": {probes: []error{terminated}, unreachable: "c"},
	} {
		t.Run(name, func(t *testing.T) {
			test := newCellTest(t, 50*time.Millisecond)
			test.claimTTL = 5 * time.Second
			var probed atomic.Int64
			test.probe = func(context.Context, string) error {
				n := min(int(probed.Add(1)), len(c.probes))
				return c.probes[n-1]
			}
			a := test.start("a")
			a.awaitOwned(t)
			b := test.start("b")
			time.Sleep(200 * time.Millisecond)
			b.owner.ReportUnreachable(c.unreachable)
			start := time.Now()
			for time.Since(start) < 1500*time.Millisecond {
				select {
				case s := <-b.changes:
					if s.Local != nil {
						if !c.takenOver {
							t.Fatalf("the cell was taken over after %v", time.Since(start))
						}
						return
					}
				case <-time.After(20 * time.Millisecond):
				}
			}
			if c.takenOver {
				t.Errorf("the cell was not taken over within %v, the claim lives for %v", time.Since(start), test.claimTTL)
			}
		})
	}
}
