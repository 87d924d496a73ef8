package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
)

const (
	// learnedVersion is the version of the record of what was learned. Records of other versions are ignored.
	learnedVersion = 1
	// maxLearnedBytes bounds the record.
	maxLearnedBytes = 64 << 10
	// learnedIntervalMS is the least time between two writes of the record. A new owner relearns what is missing within seconds.
	learnedIntervalMS = 10_000
	// learnedReadTimeout bounds what the read of the record adds to a recovery while the store is slow.
	learnedReadTimeout = 200 * time.Millisecond
)

// learnedRecord is the value of learnedKey: what an owner has learned from earlier work, by the part that has learned it.
type learnedRecord struct {
	Version  int               `cbor:"1,keyasint"`
	Sections map[string][]byte `cbor:"2,keyasint,omitempty"`
}

// learnedWrites is the state of the writes of the record. It is used only by the event loop.
type learnedWrites struct {
	changes  int64
	lastMS   int64
	inFlight bool
}

// startLearnedWrite writes what was learned if that is due and a write chain is idle. It has a chain of its own meanwhile, so that no write of jobs
// waits for it.
func (c *Cell) startLearnedWrite(now int64) {
	l := &c.learned
	if l.lastMS == 0 {
		l.lastMS = now
	}
	changes := c.machine.LearnedChanges()
	if !c.machine.LearnsAnything() || l.inFlight || c.storeRejecting || c.resigning || changes == l.changes || now-l.lastMS < learnedIntervalMS {
		return
	}
	chain := c.idleChain()
	if chain == nil {
		return
	}
	l.lastMS = now
	learned, err := c.machine.Learned()
	if err != nil {
		c.log.Error("failed to encode what was learned", zap.Error(err))
		return
	}
	chain.busy, l.inFlight = true, true
	go c.guarded("write", func() { c.storeLearned(chain, learned, changes) })
}

func (c *Cell) storeLearned(chain *writeChain, learned jobs.Learned, changes int64) {
	value, err := encodeLearned(learned)
	if err != nil {
		c.log.Error("failed to encode what was learned", zap.Error(err))
	} else if err = c.commit(chain, []port.Put{{Key: learnedKey, Value: value}}, nil); err != nil && !errors.Is(err, errNoEffect) {
		c.endTerm(err.Error())
		return
	}
	c.post(func() {
		chain.busy, c.learned.inFlight = false, false
		if err != nil {
			c.metrics.Counter("learned.not_written").Inc(1)
			return
		}
		c.learned.changes = changes
		c.metrics.Counter("learned.written").Inc(1)
	})
}

func encodeLearned(learned jobs.Learned) ([]byte, error) {
	sections, err := learned.Encode()
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(learnedRecord{learnedVersion, sections})
	if err == nil && len(value) > maxLearnedBytes {
		err = fmt.Errorf("the value of %s takes %d bytes, more than %d", learnedKey, len(value), maxLearnedBytes)
	}
	return value, err
}

// loadLearned reads what the former owner has learned. Without it the cell learns anew, so no failure ends the recovery.
func (c *Cell) loadLearned(ctx context.Context) {
	if !c.machine.LearnsAnything() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnedReadTimeout)
	defer cancel()
	ignored := ""
	entry, err := c.store.Get(ctx, learnedKey)
	var missing *port.NotFoundError
	var r learnedRecord
	switch {
	case errors.As(err, &missing):
		ignored = "missing"
	case err != nil:
		ignored = "unanswered"
	default:
		if err = cbor.Unmarshal(entry.Value, &r); err != nil {
			ignored = "unreadable"
		} else if r.Version != learnedVersion {
			ignored, err = "version", fmt.Errorf("version %d, want %d", r.Version, learnedVersion)
		} else if err = c.machine.RestoreLearned(r.Sections); err != nil {
			ignored = "unreadable"
		}
	}
	if ignored == "" {
		c.metrics.Counter("learned.read").Inc(1)
		return
	}
	c.metrics.Counter("learned.ignored_" + ignored).Inc(1)
	c.log.Info("what the former owner has learned is ignored", zap.String("reason", ignored), zap.Error(err))
}
