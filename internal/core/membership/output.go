package membership

import "auburnpier/internal/domain"

// ChangeKind names a change of the member list.
type ChangeKind uint8

// Kinds of changes.
const (
	// ChangeJoined tells that a member is new or has a new incarnation.
	ChangeJoined ChangeKind = iota + 1
	// ChangeState tells that the state of a member changed.
	ChangeState
	// ChangeRecord tells that the record of a member changed: draining or partitions.
	ChangeRecord
	// ChangeBarred tells that an incarnation was barred.
	ChangeBarred
	// ChangeSelfBarred tells that a peer refuses the pings of this incarnation.
	ChangeSelfBarred
	// ChangeVersion tells that a newer configuration version was heard of.
	ChangeVersion
	// ChangeSuperseded tells that another process uses the ID of this instance.
	ChangeSuperseded
)

// Change is one change of the member list.
type Change struct {
	Kind   ChangeKind
	Member Member
	// Old is the state before a ChangeState.
	Old State
	// ReplacedIncarnation is set on a ChangeJoined that proves the death of an
	// earlier process of the same ID.
	ReplacedIncarnation uint64
	// Version is set on a ChangeVersion, and Member is one that knows it.
	Version uint64
}

// ID returns the member that changed.
func (c Change) ID() domain.InstanceID { return c.Member.ID }
