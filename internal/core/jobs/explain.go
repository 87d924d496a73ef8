package jobs

import "fmt"

// Reasons why a step waits, as the log shows them.
const (
	waitNotStored  = "job is not stored yet"
	waitSuspects   = "workers of the former owner have not reported"
	waitTeamLimit  = "team is at its limit"
	waitTooWide    = "gang is wider than the team's limit"
	waitTurn       = "more urgent steps come first in this pass"
	waitRoom       = "no worker has room"
	waitApproval   = "approval is asked for"
	waitNoApproval = "approved workers have no room"
	waitReserved   = "room is kept until tasks end"
	waitRepair     = "gang members are placed again"
)

// noteAfterMS is how long a step waits before its reason is logged.
const noteAfterMS = 1500

// noteWaits logs why steps wait, once for each reason.
func (m *Machine) noteWaits() {
	for _, s := range m.ready {
		if m.nowMS-s.readyMS < noteAfterMS || s.waitReason == s.waitNoted {
			continue
		}
		s.waitNoted = s.waitReason
		m.out.Notes = append(m.out.Notes, Note{Kind: "step_waits",
			Task:   TaskID{s.job.id, s.occ.number, s.number, 0},
			Detail: fmt.Sprintf("%s; %d of %d tasks wait for %d ms", s.waitReason, s.waiting, s.spec.Tasks, m.nowMS-s.readyMS)})
	}
}
