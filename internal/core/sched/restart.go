package sched

// bucket is the durable token bucket of restarts after a failure.
type bucket struct {
	// Milli counts thousandths of a restart. It may be below zero after a gang restart.
	Milli int64 `cbor:"1,keyasint"`
	AtMS  int64 `cbor:"2,keyasint"`
}

// refilledBucket returns the state of the bucket at the given time.
func (m *Machine) refilledBucket(at int64) bucket {
	b := m.restartBucket
	if at <= b.AtMS {
		return b
	}
	b.Milli = min(m.cfg.RestartBurst*1000, b.Milli+(at-b.AtMS)*m.cfg.RestartsPerSecond)
	b.AtMS = at
	return b
}

// restartAllowed reports whether the restart rate allows a start after a failure now.
func (m *Machine) restartAllowed() bool { return m.refilledBucket(m.nowMS).Milli >= 1000 }

// consumeRestart takes one restart from the bucket.
func (m *Machine) consumeRestart(at int64) {
	m.restartBucket = m.refilledBucket(at)
	m.restartBucket.Milli -= 1000
}
