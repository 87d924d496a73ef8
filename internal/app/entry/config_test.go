package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// unansweredSource never answers some of the watches.
type unansweredSource struct {
	calls   atomic.Int64
	answers func(call int64) bool
}

func (s *unansweredSource) Read(context.Context) (port.CellConfig, int64, error) {
	return port.CellConfig{Version: 1}, 1, nil
}

func (s *unansweredSource) WaitForChange(ctx context.Context, after int64, wait time.Duration) (port.ConfigChange, error) {
	if !s.answers(s.calls.Add(1)) {
		<-ctx.Done()
		return port.ConfigChange{}, ctx.Err()
	}
	time.Sleep(wait)
	return port.ConfigChange{Revision: after}, nil
}

// Guards against a configuration that stays unconfirmed for seconds after a single lost response: the
// instance then rejects keys, and the owner starts nothing, although the store answers.
func TestLostWatchResponseIsMadeUpFor(t *testing.T) {
	s := &unansweredSource{answers: func(call int64) bool { return call != 2 }}
	w := NewConfigWatcher(s, zap.NewNop(), metrics.New(), func(*port.CellConfig) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	var oldest int64
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if w.Current() != nil {
			oldest = max(oldest, w.AgeMS())
		}
	}
	if limit := (2*configWatchWait + configWatchMargin + configRetryDelay).Milliseconds() + 100; oldest > limit {
		t.Errorf("the configuration was unconfirmed for %d ms, want at most %d", oldest, limit)
	}
}
