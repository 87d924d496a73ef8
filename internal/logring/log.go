package logring

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling limits, which apply to the lines that share one message in one tick. A task start logs
// a few lines, and the target peak is 460 starts a second, so only floods are sampled. Rare events,
// such as changes of owners or workers, never reach the limit.
const (
	samplingTick      = time.Second
	maxUnsampledLines = 600
	// Beyond the first maxUnsampledLines lines, one line in writeEveryNth is written.
	writeEveryNth = 20
)

// Log is a logger that writes JSON lines through a ring buffer. Without a ring (see Nop), it
// counts no dropped lines.
type Log struct {
	*zap.Logger
	ring       *Writer
	sampledOut atomic.Int64
}

// NewLog returns a logger that writes lines at or above level to out without blocking the caller.
// It returns an error if the level is unknown.
func NewLog(out io.Writer, level string) (*Log, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	l := &Log{ring: New(out)}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l.ring, minLevel)
	sampled := zapcore.NewSamplerWithOptions(core, samplingTick, maxUnsampledLines, writeEveryNth,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				l.sampledOut.Add(1)
			}
		}))
	l.Logger = zap.New(sampled)
	return l, nil
}

// Nop returns a logger that discards everything.
func Nop() *Log { return &Log{Logger: zap.NewNop()} }

// Dropped returns the number of lines dropped because the ring was full.
func (l *Log) Dropped() int64 {
	if l.ring == nil {
		return 0
	}
	return l.ring.Dropped()
}

// SampledOut returns the number of lines that sampling discarded.
func (l *Log) SampledOut() int64 { return l.sampledOut.Load() }
