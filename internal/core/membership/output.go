package membership

import "auburnpier/internal/domain"

// ChangeKind is the type of a change to the member list.
type ChangeKind uint8

// Kinds of changes.
const (
	// ChangeJoined means that a member is new or has a new incarnation.
	ChangeJoined ChangeKind = iota + 1
	// ChangeState means that the state of a member changed.
	ChangeState
	// ChangeRecord means that the record of a member changed: draining or partitions.
	ChangeRecord
	// ChangeAcksSuppressed means that pings of an incarnation are no longer acknowledged.
	ChangeAcksSuppressed
	// ChangeSelfAcksSuppressed means that a peer no longer acknowledges the pings of this incarnation.
	ChangeSelfAcksSuppressed
	// ChangeVersion means that a member knows a newer configuration version.
	ChangeVersion
	// ChangeSuperseded means that another process uses the ID of this instance, or that
	// this incarnation was declared proven dead.
	ChangeSuperseded
)

// Change is one change of the member list.
type Change struct {
	Kind   ChangeKind
	Member Member
	// OldState is the previous state, for ChangeState.
	OldState State
	// ReplacedIncarnation is set on a ChangeJoined that proves that an earlier
	// process with the same ID has terminated.
	ReplacedIncarnation uint64
	// Version is the new version, for ChangeVersion. Member is a member that knows it.
	Version uint64
}

// ID returns the ID of the member that changed.
func (c Change) ID() domain.InstanceID { return c.Member.ID }
