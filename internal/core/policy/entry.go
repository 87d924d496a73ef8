package policy

import (
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// entry is one waiting job.
type entry struct {
	item  Item
	group *group
	dead  bool
	// passed is the round in which the job was passed over last, for reason.
	passed uint64
	reason WaitReason
}

// compareEntries orders by age, then by ID.
func compareEntries(a, b *entry) int {
	if c := a.item.Enqueued.Compare(b.item.Enqueued); c != 0 {
		return c
	}
	return strings.Compare(string(a.item.Job), string(b.item.Job))
}

// groupKey is what jobs of one group have in common. Where one of them has no
// room or exceeds the limit, so do the others.
type groupKey struct {
	class      class
	size       domain.Resources
	gang       int // tasks of a gang, or zero
	constraint string
}

func keyOf(i Item) groupKey {
	key := groupKey{class: classOf(i), size: i.Size, constraint: i.Constraint}
	if i.Kind == domain.JobGang {
		key.gang = i.Tasks
	}
	return key
}

// need returns what must be free below the limit of the team.
func (k groupKey) need() domain.Resources {
	if k.gang > 0 {
		return k.size.Scale(int64(k.gang))
	}
	return k.size
}

// group holds the waiting jobs of a team that have the same key, by age.
type group struct {
	key    groupKey
	team   *team
	need   domain.Resources
	number int // order of creation, for ties
	list   []*entry
	dead   int
	// no entry before head waits, and cursor is where the search for the
	// next entry to offer starts in this round.
	head, cursor int
	// first is the entry that is offered next. It is set while the group is
	// listed and changes only together with the position in the heap.
	first *entry
	// class is the class in whose heap of the team the group stands while it is listed.
	class    class
	position int
	listed   bool
	// parked tells that the limit of the team leaves no room.
	parked bool
	// blocked is the last round in which there was no room.
	blocked uint64
	// dirty and touched tell that the group is on the list of that name.
	dirty, touched bool
	ages           time.Time
	agingPosition  int
}

// minCompact keeps short lists from being compacted again and again.
const minCompact = 32

func (g *group) insert(e *entry) {
	e.group = g
	last := len(g.list) - 1
	if last < 0 || compareEntries(g.list[last], e) < 0 {
		g.list = append(g.list, e)
		return
	}
	at, _ := slices.BinarySearchFunc(g.list, e, compareEntries)
	g.list = slices.Insert(g.list, at, e)
	g.cursor = min(g.cursor, at)
	g.head = min(g.head, at)
}

// drop marks the entry as removed. The list is compacted when most of it is
// removed, so a wave of removals costs linear time.
func (g *group) drop(e *entry) {
	e.dead = true
	g.dead++
	if len(g.list) < minCompact || 2*g.dead < len(g.list) {
		return
	}
	live := g.list[:0]
	cursor := 0
	for i, e := range g.list {
		if e.dead {
			continue
		}
		if i < g.cursor {
			cursor++
		}
		live = append(live, e)
	}
	clear(g.list[len(live):])
	g.list = live
	g.head = 0
	g.cursor = cursor
	g.dead = 0
}

func (g *group) empty() bool {
	return g.dead == len(g.list)
}

// current moves the cursor past entries that are removed or passed in the round.
func (g *group) current(round uint64) *entry {
	for ; g.cursor < len(g.list); g.cursor++ {
		e := g.list[g.cursor]
		if !e.dead && e.passed != round {
			return e
		}
		if e.dead && g.head == g.cursor {
			g.head++
		}
	}
	return nil
}
