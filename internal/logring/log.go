package logring

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the lines of one message in a second. A start has a few lines, and
// 460 starts a second are the target's peak, so only a flood is thinned out. What
// changes seldom, as owners and workers do, never reaches the bound.
const (
	sampleTick  = time.Second
	sampleFirst = 600
	// sampleEvery of the lines beyond the first is written.
	sampleEvery = 20
)

// Log is a logger that writes JSON lines through a ring. A nil Log counts nothing.
type Log struct {
	*zap.Logger
	ring       *Writer
	sampledOut atomic.Int64
}

// NewLog returns a logger of lines at or above level that writes to out
// without blocking. It returns an error for a level that is not known.
func NewLog(out io.Writer, level string) (*Log, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	l := &Log{ring: New(out)}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l.ring, least)
	sampled := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				l.sampledOut.Add(1)
			}
		}))
	l.Logger = zap.New(sampled)
	return l, nil
}

// Nop returns a log that writes nothing.
func Nop() *Log { return &Log{Logger: zap.NewNop()} }

// Dropped returns the number of lines that found the ring full.
func (l *Log) Dropped() int64 {
	if l.ring == nil {
		return 0
	}
	return l.ring.Dropped()
}

// SampledOut returns the number of lines that a flood of their message left out.
func (l *Log) SampledOut() int64 { return l.sampledOut.Load() }
