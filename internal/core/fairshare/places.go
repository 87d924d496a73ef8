package fairshare

import "math"

const (
	// MinRetryMS and MaxRetryMS bound the delay after which a refused caller returns.
	MinRetryMS = 1000
	MaxRetryMS = 5000
	// spreadMS is the time before MaxRetryMS over which callers are spread once all places are taken.
	spreadMS = 1000
	// spreadStep is the golden section, whose multiples modulo 1 never repeat. A step of one place would repeat at once at a rate of 1 a second.
	spreadStep = 0.6180339887
	// minRatePerS bounds the time between two places.
	minRatePerS = 1
)

// Places gives refused callers successive times of return. A place that has passed is free again. The zero value has all places free.
type Places struct {
	// lastMS and lastOverMS are the last places of teams within and above their share.
	lastMS, lastOverMS float64
	// spread is where in spreadMS the next caller without a place of its own returns, from 0 to 1.
	spread float64
}

// Next takes the next place, for a caller that must not return within leastMS, and returns the time until then. Places follow each other at the rate
// at which work leaves. Teams above their share come after all others. A caller that has to wait longer than until its place is spread over the time
// from then on, and takes up no other places.
func (p *Places) Next(leastMS, nowMS int64, ratePerS float64, over bool) (retryMS int64) {
	gap := 1000 / max(minRatePerS, ratePerS)
	now := float64(nowMS)
	at := max(now+MinRetryMS, p.lastMS+gap)
	if over {
		// Half a gap later, so that no place is the same as one of the teams within their share, which may be taken afterwards.
		at = max(at+gap/2, p.lastOverMS+gap)
	}
	latest, least := now+MaxRetryMS, now+float64(leastMS)
	if at < latest {
		if over {
			p.lastOverMS = at
		} else {
			p.lastMS = at
		}
		if at >= least {
			return int64(math.Ceil(at)) - nowMS
		}
		if at = least + p.spread*spreadMS; at < latest {
			p.advance()
			return int64(math.Ceil(at)) - nowMS
		}
	}
	// More callers return than can be served by then. Spreading them still keeps them from returning at once.
	back := p.spread * spreadMS / 2
	p.advance()
	if !over {
		back += spreadMS / 2
	}
	return MaxRetryMS - int64(back)
}

func (p *Places) advance() { p.spread = math.Mod(p.spread+spreadStep, 1) }

// rateWindowMS is the time constant with which earlier departures count less.
const rateWindowMS = 5000

// Rate measures how many jobs leave per second. The zero value has seen none.
type Rate struct {
	count  float64
	lastMS int64
}

// Add counts a job that leaves.
func (r *Rate) Add(nowMS int64) {
	r.count = r.decayed(nowMS) + 1
	r.lastMS = max(r.lastMS, nowMS)
}

func (r *Rate) decayed(nowMS int64) float64 {
	return r.count * math.Exp(-float64(max(0, nowMS-r.lastMS))/rateWindowMS)
}

// PerS returns the smoothed number of jobs that leave per second.
func (r *Rate) PerS(nowMS int64) float64 { return r.decayed(nowMS) * 1000 / rateWindowMS }
