package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"auburnpier/internal/port"
)

// Parameters of writes that are sent again while the first attempt is not answered. Writes of all jobs wait for an answer of the store; if some of
// its answers are lost, a job of the short class is late that waits for a timeout.
const (
	// minHedgeDelay is several times what a store in good health takes, and a round trip between regions.
	minHedgeDelay = 40 * time.Millisecond
	// maxHedges bounds the further attempts of a write within writeTimeout. The time until the next one doubles.
	maxHedges = 3
	// maxHedgeTokens bounds the attempts in a row to a store that answers nothing, hedgesPerAnswer the share of attempts that are sent again.
	maxHedgeTokens  = 10
	hedgesPerAnswer = 0.75
)

// hedging decides when a write is sent again. The zero value is ready for use.
type hedging struct {
	responses responseTimes
	mu        sync.Mutex
	// used is the number of tokens in use.
	used float64
}

// answered adds an answer of the store that took so long.
func (h *hedging) answered(took time.Duration) {
	h.responses.observe(took)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used = max(0, h.used-hedgesPerAnswer)
}

// take reports whether one more attempt may be sent.
func (h *hedging) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used > maxHedgeTokens-1 {
		return false
	}
	h.used++
	return true
}

// delay returns after how long without an answer the first further attempt is sent.
func (h *hedging) delay() time.Duration { return max(minHedgeDelay, h.responses.bound()) }

// commitResult is the result of one attempt of a transaction.
type commitResult struct {
	revision int64
	err      error
}

// isDefinite reports whether the outcome of the transaction is known.
func (r commitResult) isDefinite() bool {
	var unknown *port.OutcomeUnknownError
	return r.err == nil || !port.HadNoEffect(r.err) && !errors.As(r.err, &unknown)
}

// commitOnce sends a transaction, and again while no attempt is answered. At most one of the attempts takes effect, because each changes the revision
// that the others require; an attempt that the store carries out later fails for the same reason.
func (c *Cell) commitOnce(txn port.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	results := make(chan commitResult, 1+maxHedges)
	send := func() {
		sent := time.Now()
		revision, err := c.store.Commit(ctx, txn)
		r := commitResult{revision, err}
		if r.isDefinite() {
			c.hedging.answered(time.Since(sent))
		}
		results <- r
	}
	go send()
	delay := c.hedging.delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failure error
	for open, hedges := 1, 0; ; {
		select {
		case r := <-results:
			if r.isDefinite() {
				return r.revision, r.err
			}
			// If the outcome of any attempt is unknown, that of the transaction is.
			if failure == nil || port.HadNoEffect(failure) {
				failure = r.err
			}
			if open--; open == 0 {
				return 0, failure
			}
		case <-timer.C:
			if hedges < maxHedges && c.hedging.take() {
				c.metrics.Counter("store.commit.hedged").Inc(1)
				hedges++
				open++
				go send()
				delay *= 2
				timer.Reset(delay)
			}
		}
	}
}
