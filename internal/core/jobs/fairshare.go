package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"auburnpier/internal/core/fairshare"
	"auburnpier/internal/domain"
)

const (
	// chargeIntervalMS is the time between two charges of the teams' use, a hundredth of its half-life.
	chargeIntervalMS = 100
	// minUseForShares is the fraction of the CPU in use from which on capacity is short.
	minUseForShares = 0.8
	// maxRescueMS is how long before a step would become late it counts as normal again at most. With 500 ms, ordinary overload without a team that sends
	// more than usual made up to 2 % more of the worth late than with 2,000 ms, and a flood was served alike.
	maxRescueMS = urgentSlackMS
	// floodUse is the fraction of the capacity, and floodExcess the excess above the share, that a team uses at one moment to count as flooding. The averaged use
	// shows it only 3 to 5 s after a flood has begun, when its tasks already fill the fleet.
	floodUse    = 0.2
	floodExcess = 2
	// heldBackMS is how long capacity stays short after work of a flooding team was held back. Use falls below minUseForShares because that work waits, and
	// the flood would fill what was kept free.
	heldBackMS = 2000
	// restoreMS is how long after the takeover the running tasks are still becoming known.
	restoreMS = 3000
	// maxExcess bounds the excess that is shown.
	maxExcess = 1e6
)

// fairShares decides whose work waits while capacity is short.
type fairShares struct {
	shares    fairshare.Shares
	chargedMS int64
	// short holds the services that use most of their CPU.
	short map[string]bool
	// heldBackMS is when work of a flooding team was last held back, by service. flooding is set while any team is flooding.
	heldBackMS map[string]int64
	flooding   bool
	// lastService is the service that was last asked for: nearly all steps are of the same one.
	lastService string
	lastShort   bool
	queues      map[domain.QueueID]returns
}

// returns decides when refused jobs of a queue come back, by the rate at which jobs leave the queue and the places that are taken.
type returns struct {
	rate   fairshare.Rate
	places fairshare.Places
}

// sharing is what the order of the steps needs to know of a team, as of the last charge. With the state in fairShares it takes at most 64 B.
type sharing struct {
	// approvalMS is the time of the approval service that the team's requests take, since the last charge.
	approvalMS float32
	// overShare is set while the team is above its share, farOver while it is far above, and mostOver if its excess is the largest.
	overShare, farOver, mostOver bool
	// flooding is set while the team is far above its share and has used a large part of the capacity since it was.
	flooding bool
	// left is the fraction of the capacity that the other teams leave to it.
	left float32
	// share is the team's share of the capacity.
	share float32
}

func newFairShares(on bool) *fairShares {
	if !on {
		return nil
	}
	return &fairShares{queues: make(map[domain.QueueID]returns), heldBackMS: make(map[string]int64)}
}

// scratch returns a copy for decisions that must not take effect.
func (f *fairShares) scratch() *fairShares {
	if f == nil {
		return nil
	}
	c := *f
	c.shares, c.queues, c.heldBackMS = f.shares.Clone(), maps.Clone(f.queues), maps.Clone(f.heldBackMS)
	return &c
}

// updateShares charges the teams for what they use, and determines which are above their share.
func (m *Machine) updateShares() {
	f := m.fair
	if f == nil || m.nowMS-f.chargedMS < chargeIntervalMS && f.chargedMS > 0 {
		return
	}
	f.chargedMS = m.nowMS
	capacity := m.measureUse()
	lanes := float64(max(1, m.approvers.Lanes(0, m.nowMS)))
	restore := m.nowMS-m.beganMS < restoreMS || len(m.suspects) > 0
	for _, t := range m.teams {
		f.shares.Demand(t.ID, t.Weight, len(m.ready) > 0 && len(t.demand) > 0, m.nowMS)
		f.shares.Charge(t.ID, t.used, capacity, float64(t.approvalMS)/lanes, m.nowMS)
		t.approvalMS = 0
		if restore {
			f.shares.Restore(t.ID, t.used, capacity, m.nowMS)
		}
	}
	f.shares.Settle(m.nowMS)
	largest, _, _ := f.shares.Largest()
	f.flooding = false
	var changed []*team
	for _, t := range m.teams {
		before := t.overShare
		s := f.shares.Standing(t.ID)
		t.overShare, t.farOver, t.mostOver, t.left = s.Over, s.Far, s.Over && t.ID == largest, float32(s.Left)
		m.updateFlooding(t, s, capacity)
		if t.overShare != before {
			changed = append(changed, t)
		}
	}
	// The order of m.teams differs between runs, that of the log lines must not.
	slices.SortFunc(changed, func(a, b *team) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range changed {
		m.recordShare(t)
	}
}

// updateFlooding determines whether the team is flooding. It then counts as far above its share at once.
func (m *Machine) updateFlooding(t *team, s fairshare.Standing, capacity domain.Resources) {
	_, share := m.fair.shares.Use(t.ID)
	t.share = float32(share)
	use := t.used.DominantShare(capacity)
	floods := func(use float64) bool { return share > 0 && use >= floodUse && use >= (1+floodExcess)*share }
	t.flooding = s.Far && t.flooding || floods(use) && floods(m.useWithoutGangs(t).DominantShare(capacity))
	if t.flooding {
		t.overShare, t.farOver, m.fair.flooding = true, true, true
	}
}

// useWithoutGangs returns what the team's runs use that are not members of gangs. A single wide gang of a small team uses a fifth of a small fleet.
func (m *Machine) useWithoutGangs(t *team) domain.Resources {
	var used domain.Resources
	for _, w := range m.sortedWorkers {
		for _, r := range w.runs {
			if s := r.task.step; s.job.team == t && !s.spec.Gang {
				used = used.Add(r.need)
			}
		}
	}
	return used
}

// measureUse determines which services use most of their CPU, and returns the capacity of the usable workers.
func (m *Machine) measureUse() domain.Resources {
	var capacity domain.Resources
	uses := m.sumUse()
	m.fair.short = make(map[string]bool, len(uses))
	for service, u := range uses {
		heldBack, held := m.fair.heldBackMS[service]
		m.fair.short[service] = u.capacity.CPUMilli > 0 && float64(u.used.CPUMilli) >= minUseForShares*float64(u.capacity.CPUMilli) || held && m.nowMS-heldBack < heldBackMS
		capacity = capacity.Add(u.capacity)
	}
	m.fair.lastService, m.fair.lastShort = "", m.fair.short[""]
	return capacity
}

// recordShare logs whether the team is above its share now.
func (m *Machine) recordShare(t *team) {
	use, share := m.fair.shares.Use(t.ID)
	kind := "team_within_share"
	if t.overShare {
		kind = "team_over_share"
	}
	m.out.recordWorker(kind, "", fmt.Sprintf("team %s uses %.1f %% of its dominant resource, its share is %.1f %%", t.ID, use*100, share*100))
}

// sharesApply reports whether capacity of the service is short, so that teams above their share come after the others.
func (m *Machine) sharesApply(service string) bool {
	f := m.fair
	if f == nil {
		return false
	}
	if service != f.lastService {
		f.lastService, f.lastShort = service, f.short[service]
	}
	return f.lastShort || m.approverPressure.Scarce()
}

// orderClass tells after which work of other teams the work of a team comes while capacity is short.
type orderClass uint8

const (
	notBehind orderClass = iota
	// behindOthers is work that comes after that of teams within their share within its tier and priority.
	behindOthers
	// behindUrgent is work that comes after urgent work of other teams, too.
	behindUrgent
	// behindUseful is work of a flooding team, which comes after all work of other teams that is of use.
	behindUseful
)

// countsBefore reports whether waiting work of another team counts as coming before new work in admission. For a team far above its share, urgent
// work of lower priorities comes first as well, but does not count: in a flood of 60 times the usual load, that refused a seventh of the short jobs
// that were of use otherwise, and did not serve the other teams better.
func (c orderClass) countsBefore(priority int, added orderClass, addedPriority int) bool {
	if c >= behindUrgent && added < behindUrgent {
		return false
	}
	return priority < addedPriority || priority == addedPriority && c <= added
}

// orderClass returns the class of the team as of the last charge.
func (t *team) orderClass() orderClass {
	switch {
	case t.flooding:
		return behindUseful
	case t.farOver:
		return behindUrgent
	case t.overShare:
		return behindOthers
	}
	return notBehind
}

// setOrderClass determines whether a waiting step of known rank and tier comes after those of teams within their share. Steps of teams far
// above theirs are never urgent: else the part of a flood that has a high priority would make the others wait. Steps of a flooding team come after all
// others: its short jobs would otherwise come before the batch jobs of the others until these are urgent, and again once they are late.
func (m *Machine) setOrderClass(s *step) {
	before := s.class
	s.class = notBehind
	if s.job.team.overShare && m.yieldsToShares(s) {
		s.class = s.job.team.orderClass()
	}
	switch s.class {
	case behindUrgent:
		s.tier = tierDeferrable
	case behindUseful:
		s.tier = tierOverShare
	}
	if s.class != notBehind && before == notBehind {
		m.out.MovedBack++
	}
}

// yieldsToShares reports whether a step of a team above its share comes after those of others. Expired steps have an order of their own,
// and the remaining members of a gang hold the room of the others. A step about to become late counts as normal again, except those of
// the team with the largest excess and of flooding teams, which would otherwise take the place of all others as soon as they have enough late work.
func (m *Machine) yieldsToShares(s *step) bool {
	if !m.sharesApply(s.job.queue.Service) || s.tier == tierExpired || s.spec.LongRunning || s.spec.Gang && s.waiting < s.open {
		return false
	}
	slack := s.occurrence.deadlineMS - m.nowMS - s.estimateMS - m.lateMarginMS(s)
	return s.job.team.mostOver || s.job.team.flooding || s.rank == rankLate || slack >= s.rescueMS()
}

// rescueMS returns the slack below which the step is about to become late. Jobs whose whole slack is small would otherwise never wait.
func (s *step) rescueMS() int64 {
	initialSlack := s.occurrence.objectiveMS() - s.occurrence.criticalPathMS
	return min(maxRescueMS, int64(urgentSlackShare*float64(initialSlack)))
}

// rankByShare returns the rank of the step, which within each rank comes after those of teams within their share unless its class is notBehind.
func (s *step) rankByShare() int64 {
	if s.class != notBehind {
		return 2*s.rank + 1
	}
	return 2 * s.rank
}

// orderClass returns the class of new work of the team.
func (l *load) orderClass(t *team) orderClass {
	if !l.sharesApply {
		return notBehind
	}
	return t.orderClass()
}

// countDeparture counts an ended job, after which a refused one may be accepted.
func (m *Machine) countDeparture(j *job) {
	name := j.queue.Name
	if m.fair == nil || m.queues[name] == nil {
		return
	}
	d := m.fair.queues[name]
	d.rate.Add(m.nowMS)
	m.fair.queues[name] = d
}

// dropQueues drops the places of queues that are not configured any longer.
func (f *fairShares) dropQueues(configured map[domain.QueueID]*Queue) {
	if f != nil {
		maps.DeleteFunc(f.queues, func(name domain.QueueID, _ returns) bool { return configured[name] == nil })
	}
}

// retryMS returns the delay after which a job that is refused for overload may be submitted again. excessMS is by how much the expected
// wait is too long.
func (m *Machine) retryMS(l *load, q *Queue, t *team, excessMS int64) int64 {
	least := min(maxRetryMS, max(minRetryMS, excessMS))
	if m.fair == nil {
		return least
	}
	m.out.Places++
	d := m.fair.queues[q.Name]
	// Places before the excess has been worked off would lead to another refusal.
	retry := d.places.Next(least, m.nowMS, d.rate.PerS(m.nowMS), l.orderClass(t) != notBehind)
	if m.queues[q.Name] != nil {
		m.fair.queues[q.Name] = d
	}
	return retry
}

// previewShare returns the share of the team, or nil while teams are not ordered by their shares.
func (m *Machine) previewShare(id domain.TeamID) *PreviewShare {
	if m.fair == nil {
		return nil
	}
	return &PreviewShare{Excess: m.fair.shares.Excess(id, m.nowMS)}
}

// SharesView shows operators which teams wait because they are above their share.
type SharesView struct {
	// Short is set while capacity is short, so that the work of teams above their share waits.
	Short     bool `json:"short"`
	TeamsOver int  `json:"teams_over"`
	// Largest is the team with the largest excess.
	Largest              domain.TeamID `json:"largest,omitempty"`
	LargestExcessPercent int           `json:"largest_excess_percent"`
}

func (m *Machine) sharesView() *SharesView {
	if m.fair == nil {
		return nil
	}
	largest, excess, over := m.fair.shares.Largest()
	v := &SharesView{TeamsOver: over, Largest: largest, LargestExcessPercent: int(math.Round(min(maxExcess, excess) * 100))}
	for service := range m.fair.short {
		v.Short = v.Short || m.sharesApply(service)
	}
	return v
}
