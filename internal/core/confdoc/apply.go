// Package confdoc implements the configuration document: edits, row revisions, validation and
// encoding. It performs no I/O; times and random IDs are supplied with the edits.
package confdoc

import (
	"maps"
	"slices"

	"auburnpier/internal/domain"
)

// maxRecentEdits is the number of edit IDs kept to detect retried edits. At 430 edits a day it
// covers half a day, far longer than any client retries a call.
const maxRecentEdits = 256

// EditResult is the result of an accepted edit.
type EditResult struct {
	// Version is the version of the document that the edit created.
	Version uint64 `json:"version"`
	// Repeated reports whether an earlier call had already applied the edit.
	Repeated bool `json:"repeated,omitempty"`
}

// Apply returns a copy of the document with the edit applied; doc itself is not modified. An edit
// whose ID is in RecentEdits is not applied again. Apply returns a *ConflictError if the edit is
// based on an outdated revision, and an *InvalidError that lists every fault.
func Apply(doc domain.ConfigDocument, edit Edit) (domain.ConfigDocument, EditResult, error) {
	if faults := editFaults(edit); len(faults) > 0 {
		return doc, EditResult{}, &InvalidError{Faults: faults}
	}
	if version, ok := FindEdit(doc, edit.ID); ok {
		return doc, EditResult{Version: version, Repeated: true}, nil
	}
	next := Clone(doc)
	next.Version++
	if err := applyChange(&next, edit); err != nil {
		err.Version = doc.Version
		return doc, EditResult{}, err
	}
	faults := Validate(next)
	faults = append(faults, lockoutFaults(doc, next)...)
	if len(faults) > 0 {
		return doc, EditResult{}, &InvalidError{Faults: faults}
	}
	recordEdit(&next, edit.ID)
	return next, EditResult{Version: next.Version}, nil
}

// FindEdit returns the version that the edit created, if it is among the recent edits.
func FindEdit(doc domain.ConfigDocument, editID string) (uint64, bool) {
	for _, e := range doc.RecentEdits {
		if e.ID == editID {
			return e.Version, true
		}
	}
	return 0, false
}

// BumpVersion returns a copy of the document with the next version and no other change. Writing it
// changes the revision of the key, so that an earlier write of unknown outcome can no longer take
// effect.
func BumpVersion(doc domain.ConfigDocument, editID string) domain.ConfigDocument {
	next := Clone(doc)
	next.Version++
	recordEdit(&next, editID)
	return next
}

// Clone returns a deep copy of doc in which no map is nil.
func Clone(doc domain.ConfigDocument) domain.ConfigDocument {
	c := doc
	c.Teams = maps.Clone(doc.Teams)
	c.Keys = maps.Clone(doc.Keys)
	c.Queues = maps.Clone(doc.Queues)
	c.Partitions = clonePartitions(doc.Partitions)
	c.RecentEdits = slices.Clone(doc.RecentEdits)
	initMaps(&c)
	return c
}

func clonePartitions(rows []domain.PartitionRow) []domain.PartitionRow {
	c := slices.Clone(rows)
	for i := range c {
		c[i].Zones = slices.Clone(c[i].Zones)
	}
	return c
}

func initMaps(doc *domain.ConfigDocument) {
	if doc.Teams == nil {
		doc.Teams = make(map[domain.TeamID]domain.TeamRow)
	}
	if doc.Keys == nil {
		doc.Keys = make(map[string]domain.KeyRow)
	}
	if doc.Queues == nil {
		doc.Queues = make(map[domain.QueueID]domain.QueueRow)
	}
}

func recordEdit(doc *domain.ConfigDocument, editID string) {
	doc.RecentEdits = append(doc.RecentEdits, domain.AppliedEdit{ID: editID, Version: doc.Version})
	if excess := len(doc.RecentEdits) - maxRecentEdits; excess > 0 {
		doc.RecentEdits = slices.Delete(doc.RecentEdits, 0, excess)
	}
}

// applyChange applies the edit in place. doc.Version must already be the new version.
func applyChange(doc *domain.ConfigDocument, e Edit) *ConflictError {
	switch {
	case e.SetTeam != nil:
		return setTeam(doc, e.SetTeam)
	case e.DeleteTeam != nil:
		return deleteTeam(doc, e.DeleteTeam)
	case e.GrantKey != nil:
		return grantKey(doc, e.GrantKey)
	case e.WithdrawKey != nil:
		return withdrawKey(doc, e.WithdrawKey)
	case e.SetQueue != nil:
		return setQueue(doc, e.SetQueue)
	case e.DeleteQueue != nil:
		return deleteQueue(doc, e.DeleteQueue)
	case e.SetPartitions != nil:
		return setPartitions(doc, e.SetPartitions)
	default:
		return applyImport(doc, e.Import)
	}
}
