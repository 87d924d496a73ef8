package sched

// bucket is the durable token bucket of restarts after a failure.
type bucket struct {
	// Milli counts thousandths of a restart. It may be below zero after a gang restart.
	Milli int64 `cbor:"1,keyasint"`
	AtMS  int64 `cbor:"2,keyasint"`
}

// refilled returns the bucket at a time.
func (m *Machine) refilled(at int64) bucket {
	b := m.restartBucket
	if at <= b.AtMS {
		return b
	}
	b.Milli = min(m.cfg.RestartBurst*1000, b.Milli+(at-b.AtMS)*m.cfg.RestartsPerSecond)
	b.AtMS = at
	return b
}

// mayRestart reports whether the rate lets a task start again after a failure now.
func (m *Machine) mayRestart() bool { return m.refilled(m.now).Milli >= 1000 }

// takeRestart uses one restart.
func (m *Machine) takeRestart(at int64) {
	m.restartBucket = m.refilled(at)
	m.restartBucket.Milli -= 1000
}
