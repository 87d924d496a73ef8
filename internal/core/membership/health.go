package membership

import "time"

// healthAfterPause is added to the health score when the process resumes,
// because its socket still holds datagrams from before the pause.
const healthAfterPause = 2

// addHealth changes the local health score within its limits.
func (n *Node) addHealth(delta int) {
	n.health = min(max(n.health+delta, 0), n.cfg.MaxHealthScore)
}

// advance sets the current time. A long gap since the last input means that this
// process was paused, so that missing responses say nothing about the others.
func (n *Node) advance(now time.Time) {
	gap := now.Sub(n.now)
	n.now = now
	if gap > n.cfg.PauseThreshold {
		n.resume(gap)
	}
}

func (n *Node) resume(gap time.Duration) {
	n.probes = nil
	n.relayedPings = nil
	n.graceUntil = n.now.Add(2 * n.cfg.ProbeInterval)
	n.lastResponseAt = n.now
	n.nextRound = n.now
	n.addHealth(healthAfterPause)
	for _, m := range n.members {
		if m.State == StateSuspect {
			m.suspectSince = m.suspectSince.Add(gap)
		}
	}
}
