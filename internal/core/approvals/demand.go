package approvals

import "math"

// demandWindowMS is the time constant with which earlier requests count less.
const demandWindowMS = 4000

// demand is the processing time asked for lately, with exponential decay.
type demand struct {
	sumMS  float64
	lastMS int64
	// started is set once the time is known.
	started bool
}

func (d *demand) decay(nowMS int64) {
	if !d.started {
		d.started, d.lastMS = true, nowMS
	}
	if nowMS > d.lastMS {
		d.sumMS *= math.Exp(-float64(nowMS-d.lastMS) / demandWindowMS)
		d.lastMS = nowMS
	}
}

// expect sets the demand to what keeps that many instances busy.
func (d *demand) expect(busy float64) { d.sumMS = max(d.sumMS, busy*demandWindowMS) }

func (d *demand) add(expectedMS float64, nowMS int64) {
	d.decay(nowMS)
	d.sumMS += expectedMS
}

// busy returns how many instances the demand keeps busy.
func (d *demand) busy(nowMS int64) float64 {
	d.decay(nowMS)
	return d.sumMS / demandWindowMS
}
