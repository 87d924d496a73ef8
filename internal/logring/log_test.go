package logring

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// lockedBuffer is an output that is safe for concurrent reads and writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a flood of refusals that fills the log or hides rare events among it, and against
// discarded lines that aren't counted.
func TestFloodIsSampled(t *testing.T) {
	var out lockedBuffer
	log, err := NewLog(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	const flood = 30_000
	start := time.Now()
	for n := range flood {
		log.Info("job_refused", zap.String("job", fmt.Sprintf("%016x", n)), zap.String("reason", "objective_out_of_reach"))
		if n%3000 == 0 {
			log.Info("worker_avoided", zap.String("worker", fmt.Sprint("w", n)))
		}
	}
	seconds := time.Since(start).Seconds() + 1
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	written := out.String()
	if n := strings.Count(written, `"worker_avoided"`); n != flood/3000 {
		t.Errorf("%d of %d rare events were written during the flood", n, flood/3000)
	}
	refused := strings.Count(written, `"job_refused"`)
	// The sampler counts per tick of one second. A flood that starts within a tick touches one tick
	// more than its duration.
	if maxLines := int(seconds+1)*maxUnsampledLines + flood/writeEveryNth; refused > maxLines {
		t.Errorf("%d lines of %d refusals, want at most %d", refused, flood, maxLines)
	}
	if discarded := log.SampledOut() + log.Dropped(); int(discarded)+refused != flood {
		t.Errorf("%d lines written and %d counted as discarded, want %d in total", refused, discarded, flood)
	}
	if !strings.Contains(written, fmt.Sprintf("%016x", 0)) {
		t.Error("the first refusal is missing from the log")
	}
}

// BenchmarkLine measures the CPU time of a log line of the kind that the owner writes.
func BenchmarkLine(b *testing.B) {
	log, err := NewLog(&lockedBuffer{}, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for n := range b.N {
		log.Info(fmt.Sprint("run_start", n/maxUnsampledLines%4096), zap.String("job", "00112233445566ff"), zap.Int("occurrence", 0), zap.Int("step", 1),
			zap.Int("task", 7), zap.Int("run", 2001), zap.String("worker", "i-7f3a91c2"), zap.String("detail", ""), zap.Int64("epoch", 2))
	}
}
