// Package confdoc is the configuration document: edits, row revisions,
// validation and encoding. It is pure; time and randomness come with the edits.
package confdoc

import (
	"maps"
	"slices"

	"auburnpier/internal/domain"
)

// maxRecentEdits is how many edit IDs the document keeps. At 430 edits a day
// this covers half a day, far longer than any repeated call.
const maxRecentEdits = 256

// Applied tells what became of an accepted edit.
type Applied struct {
	// Version is the document version that holds the edit.
	Version uint64 `json:"version"`
	// Repeated tells that the edit had already been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Apply returns the document with the edit. The given document is not
// changed. It returns a *ConflictError, or an *InvalidError with every fault.
func Apply(doc domain.ConfigDocument, edit Edit) (domain.ConfigDocument, Applied, error) {
	if faults := editFaults(edit); len(faults) > 0 {
		return doc, Applied{}, &InvalidError{Faults: faults}
	}
	if version, ok := Find(doc, edit.ID); ok {
		return doc, Applied{Version: version, Repeated: true}, nil
	}
	next := Clone(doc)
	next.Version++
	if err := change(&next, edit); err != nil {
		err.Version = doc.Version
		return doc, Applied{}, err
	}
	faults := Validate(next)
	faults = append(faults, lockoutFaults(doc, next)...)
	if len(faults) > 0 {
		return doc, Applied{}, &InvalidError{Faults: faults}
	}
	remember(&next, edit.ID)
	return next, Applied{Version: next.Version}, nil
}

// Find returns the version at which the edit was accepted.
func Find(doc domain.ConfigDocument, editID string) (uint64, bool) {
	for _, e := range doc.RecentEdits {
		if e.ID == editID {
			return e.Version, true
		}
	}
	return 0, false
}

// Touch returns the document with a new version and no other change. It is
// written to make sure that an earlier write of unknown outcome can't take
// effect any more.
func Touch(doc domain.ConfigDocument, editID string) domain.ConfigDocument {
	next := Clone(doc)
	next.Version++
	remember(&next, editID)
	return next
}

// Clone returns a copy that shares no memory with doc.
func Clone(doc domain.ConfigDocument) domain.ConfigDocument {
	c := doc
	c.Teams = maps.Clone(doc.Teams)
	c.Keys = maps.Clone(doc.Keys)
	c.Queues = maps.Clone(doc.Queues)
	c.Partitions = clonePartitions(doc.Partitions)
	c.RecentEdits = slices.Clone(doc.RecentEdits)
	fillMaps(&c)
	return c
}

func clonePartitions(rows []domain.PartitionRow) []domain.PartitionRow {
	c := slices.Clone(rows)
	for i := range c {
		c[i].Zones = slices.Clone(c[i].Zones)
	}
	return c
}

func fillMaps(doc *domain.ConfigDocument) {
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

func remember(doc *domain.ConfigDocument, editID string) {
	doc.RecentEdits = append(doc.RecentEdits, domain.AppliedEdit{ID: editID, Version: doc.Version})
	if excess := len(doc.RecentEdits) - maxRecentEdits; excess > 0 {
		doc.RecentEdits = slices.Delete(doc.RecentEdits, 0, excess)
	}
}

// change applies the edit to doc, whose version is already the new one.
func change(doc *domain.ConfigDocument, e Edit) *ConflictError {
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
		return importTable(doc, e.Import)
	}
}
