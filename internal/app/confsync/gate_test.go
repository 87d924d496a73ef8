package confsync

import (
	"testing"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
	"auburnpier/internal/standin/store"
)

// Guards against refusals that are counted twice: by Resolve and where the response is sent.
func TestRefusalsAreCountedWhereTheyAreAnswered(t *testing.T) {
	m := metrics.New()
	base := store.New()
	s := New(Config{
		Store: base, Clock: port.SystemClock{}, Metrics: m,
		Watch: sharedwatch.New(base, port.SystemClock{}, m, sharedwatch.Prefix),
	})
	_, err := s.Resolve(teamkey.Key{})
	if got := refusal.FromError(err).Reason; got != refusal.NotReady {
		t.Fatalf("refused as %s", got)
	}
	if n := m.Counter("refusal." + string(refusal.NotReady)).Count(); n != 0 {
		t.Fatalf("counted %d times before the response was sent", n)
	}
}
