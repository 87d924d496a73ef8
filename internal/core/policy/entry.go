package policy

import (
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// entry is one waiting job.
type entry struct {
	item    Item
	group   *group
	removed bool
	// passedRound is the last round in which the job was passed over, for passReason.
	passedRound uint64
	passReason  WaitReason
}

// compareEntries orders entries by age, then by job ID.
func compareEntries(a, b *entry) int {
	if c := a.item.Enqueued.Compare(b.item.Enqueued); c != 0 {
		return c
	}
	return strings.Compare(string(a.item.Job), string(b.item.Job))
}

// groupKey is what the jobs of a group have in common. If one of them does not fit or
// exceeds the team limit, neither does any other.
type groupKey struct {
	class      class
	size       domain.Resources
	gangTasks  int // tasks of a gang, or zero
	constraint string
}

func groupKeyOf(i Item) groupKey {
	key := groupKey{class: classOf(i), size: i.Size, constraint: i.Constraint}
	if i.Kind == domain.JobGang {
		key.gangTasks = i.Tasks
	}
	return key
}

// need returns how much headroom below the team limit a job of the group requires.
func (k groupKey) need() domain.Resources {
	if k.gangTasks > 0 {
		return k.size.Scale(int64(k.gangTasks))
	}
	return k.size
}

// group holds the waiting jobs of a team that share a key, ordered by age.
type group struct {
	key          groupKey
	team         *team
	need         domain.Resources
	sequence     int // order of creation, for ties
	entries      []*entry
	removedCount int
	// Entries before head are all removed. cursor is where the search for the next entry
	// to offer in this round starts.
	head, cursor int
	// nextEntry is the entry that is offered next. It is set while the group is listed, and
	// changes only together with the group's position in the heap.
	nextEntry *entry
	// effectiveClass is the class, after aging, of the team heap that contains the group
	// while it is listed.
	effectiveClass class
	heapIndex      int
	listed         bool
	// parked is set while the team limit leaves no headroom for the group.
	parked bool
	// noFitRound is the last round in which a job of the group did not fit any worker.
	noFitRound uint64
	// dirty and resetPending are set while the group is in the queue's dirtyGroups and
	// resetGroups lists.
	dirty, resetPending bool
	agesAt              time.Time
	agingHeapIndex      int
}

// minCompactLen is the minimum length for compaction, so that short lists are not
// compacted over and over.
const minCompactLen = 32

func (g *group) insert(e *entry) {
	e.group = g
	last := len(g.entries) - 1
	if last < 0 || compareEntries(g.entries[last], e) < 0 {
		g.entries = append(g.entries, e)
		return
	}
	at, _ := slices.BinarySearchFunc(g.entries, e, compareEntries)
	g.entries = slices.Insert(g.entries, at, e)
	g.cursor = min(g.cursor, at)
	g.head = min(g.head, at)
}

// markRemoved marks the entry as removed. The list is compacted once at least half of its
// entries are removed, so that mass removals take linear time.
func (g *group) markRemoved(e *entry) {
	e.removed = true
	g.removedCount++
	if len(g.entries) < minCompactLen || 2*g.removedCount < len(g.entries) {
		return
	}
	live := g.entries[:0]
	cursor := 0
	for i, e := range g.entries {
		if e.removed {
			continue
		}
		if i < g.cursor {
			cursor++
		}
		live = append(live, e)
	}
	clear(g.entries[len(live):])
	g.entries = live
	g.head = 0
	g.cursor = cursor
	g.removedCount = 0
}

func (g *group) empty() bool {
	return g.removedCount == len(g.entries)
}

// nextWaiting advances the cursor past entries that are removed or were passed over in
// the round, and returns the entry there, or nil at the end.
func (g *group) nextWaiting(round uint64) *entry {
	for ; g.cursor < len(g.entries); g.cursor++ {
		e := g.entries[g.cursor]
		if !e.removed && e.passedRound != round {
			return e
		}
		if e.removed && g.head == g.cursor {
			g.head++
		}
	}
	return nil
}
