package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// loadStateUntil loads the cell's state unless ctx or the term ends first.
func (c *Cell) loadStateUntil(ctx context.Context) error {
	loadCtx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	return c.loadState(loadCtx)
}

// loadState loads the cell's state. It is called before the loop runs.
func (c *Cell) loadState(ctx context.Context) error {
	if entry, err := c.store.Get(ctx, membersKey); err == nil {
		members, err := decodeMembers(entry.Value)
		if err != nil {
			return err
		}
		c.machine.AddSuspects(members)
		for _, m := range members {
			if m.Address != "" {
				c.trackWorker(jobs.WorkerInfo{ID: m.ID, Address: m.Address, Zone: m.Zone})
			}
		}
	} else if missing := (*port.NotFoundError)(nil); !errors.As(err, &missing) {
		return err
	}
	c.loadLearned(ctx)
	count, err := c.loadJobs(ctx)
	if err != nil {
		return err
	}
	if err := c.loadWaves(ctx); err != nil {
		return err
	}
	c.machine.FinishRecovery()
	c.log.Info("cell recovered", zap.Int64("epoch", c.term.epoch), zap.Int("jobs", count), zap.Int("parked_jobs", c.machine.CountParked()),
		zap.Int("suspect_workers", c.machine.CountSuspects()), zap.Int64("took_ms", c.nowMS()-c.term.claimedMS))
	return nil
}

// loadJobs loads the stored jobs, and returns their number. It goes through the states and the specifications side by side, a page of each at a
// time, so that it takes little memory beside the jobs.
func (c *Cell) loadJobs(ctx context.Context) (int, error) {
	// No other writer remains for these keys: transactions of former owners fail on their condition.
	ctx, cancel := context.WithCancel(ctx)
	// No listing outlives the recovery: a term that ends right after it would leave a call behind.
	var listings sync.WaitGroup
	defer listings.Wait()
	defer cancel()
	states, specs := c.listPages(ctx, &listings, statePrefix), c.listPages(ctx, &listings, jobPrefix)
	count := 0
	for {
		state, ok, err := states.next()
		if err != nil || !ok {
			return count, err
		}
		count++
		id := domain.JobID(state.Key[len(statePrefix):])
		spec, err := specs.find(jobKey(id))
		if err != nil {
			return count, err
		}
		if err := c.recoverJob(ctx, id, spec, state.Value); err != nil {
			return count, err
		}
	}
}

// recoverJob passes a stored job to the machine. A specification that the list did not show is read on its own: the order of the list is the
// store's.
func (c *Cell) recoverJob(ctx context.Context, id domain.JobID, spec, state []byte) error {
	err := c.machine.RecoverJob(id, spec, state)
	if err != nil && spec == nil {
		entry, getErr := c.store.Get(ctx, jobKey(id))
		var missing *port.NotFoundError
		if getErr != nil && !errors.As(getErr, &missing) {
			return getErr
		}
		if getErr == nil {
			err = c.machine.RecoverJob(id, entry.Value, state)
		}
	}
	if err != nil {
		c.metrics.Counter("jobs.unreadable").Inc(1)
		c.log.Error("failed to recover a stored job; what runs of it is left alone", zap.String("job", string(id)), zap.Error(err))
		c.machine.SetUnreadable(id)
	}
	return nil
}

// pageReader goes through the entries of a prefix. It reads one page ahead.
type pageReader struct {
	pages   chan port.Page
	err     error
	entries []port.Entry
}

func (c *Cell) listPages(ctx context.Context, listings *sync.WaitGroup, prefix string) *pageReader {
	r := &pageReader{pages: make(chan port.Page)}
	listings.Go(func() {
		defer close(r.pages)
		page := port.Page{More: true}
		for after := ""; page.More; {
			if page, r.err = c.store.ListPage(ctx, prefix, after); r.err != nil || len(page.Entries) == 0 {
				return
			}
			after = page.Entries[len(page.Entries)-1].Key
			select {
			case r.pages <- page:
			case <-ctx.Done():
				r.err = ctx.Err()
				return
			}
		}
	})
	return r
}

// peek returns the next entry without going past it.
func (r *pageReader) peek() (e port.Entry, ok bool, err error) {
	for len(r.entries) == 0 {
		page, more := <-r.pages
		if !more {
			return e, false, r.err
		}
		r.entries = page.Entries
	}
	return r.entries[0], true, nil
}

// next returns the next entry.
func (r *pageReader) next() (e port.Entry, ok bool, err error) {
	if e, ok, err = r.peek(); ok {
		r.entries[0] = port.Entry{}
		r.entries = r.entries[1:]
	}
	return e, ok, err
}

// find goes past the entries before the key and returns the value of the key, or nil if it is not listed.
func (r *pageReader) find(key string) ([]byte, error) {
	for {
		e, ok, err := r.peek()
		if err != nil || !ok || e.Key > key {
			return nil, err
		}
		if _, _, err := r.next(); err != nil {
			return nil, err
		}
		if e.Key == key {
			return e.Value, nil
		}
	}
}

// loadParked reads the stored values of parked jobs.
func (c *Cell) loadParked(ids []domain.JobID) {
	for _, id := range ids {
		go c.guarded("load", func() {
			spec, err := c.store.Get(c.ctx, jobKey(id))
			var state port.Entry
			if err == nil {
				state, err = c.store.Get(c.ctx, StateKey(id))
			}
			c.post(func() {
				if err != nil {
					c.metrics.Counter("jobs.load_failed").Inc(1)
					c.machine.JobNotLoaded(id)
					return
				}
				c.metrics.Counter("jobs.loaded").Inc(1)
				if err := c.machine.JobLoaded(id, spec.Value, state.Value); err != nil {
					c.metrics.Counter("jobs.unreadable").Inc(1)
					c.log.Error("failed to load a parked job; what runs of it is left alone", zap.String("job", string(id)), zap.Error(err))
				}
			})
		})
	}
}

// decodeMembers decodes the workers that may have tasks. Earlier versions stored only their IDs.
func decodeMembers(value []byte) ([]jobs.Member, error) {
	var members []jobs.Member
	err := cbor.Unmarshal(value, &members)
	if err == nil {
		return members, nil
	}
	var ids []domain.WorkerID
	if cbor.Unmarshal(value, &ids) != nil {
		return nil, fmt.Errorf("decode the value of %s: %w", membersKey, err)
	}
	members = make([]jobs.Member, 0, len(ids))
	for _, id := range ids {
		members = append(members, jobs.Member{ID: id})
	}
	return members, nil
}
