package approvals

import "math"

const (
	// pressureWindowMS is the time constant with which the use of the instances is smoothed. Bursts of requests last about a second.
	pressureWindowMS = 3000
	// scarceFrom and scarceUntil are the shares of the instances in use between which the pressure keeps its state.
	scarceFrom  = 0.8
	scarceUntil = 0.55
)

// Pressure tells whether the approval service limits how much work can be started.
type Pressure struct {
	use    float64
	lastMS int64
	scarce bool
}

// Update adds the share of the instances for long requests that are in use since the last call.
func (p *Pressure) Update(use float64, nowMS int64) {
	if p.lastMS > 0 {
		weight := 1 - math.Exp(-float64(nowMS-p.lastMS)/pressureWindowMS)
		p.use += weight * (min(1, use) - p.use)
	}
	p.lastMS = nowMS
	switch {
	case p.use >= scarceFrom:
		p.scarce = true
	case p.use <= scarceUntil:
		p.scarce = false
	}
}

// Use returns the smoothed share of the instances in use.
func (p *Pressure) Use() float64 { return p.use }

// Scarce reports whether steps wait for the service rather than for room.
func (p *Pressure) Scarce() bool { return p.scarce }
