package confdoc

import (
	"slices"

	"auburnpier/internal/domain"
)

func setTeam(doc *domain.ConfigDocument, e *SetTeam) *ConflictError {
	if err := teamConflict(doc, e.Team, e.Based); err != nil {
		return err
	}
	row := e.Row
	row.Revision = doc.Version
	doc.Teams[e.Team] = row
	return nil
}

func deleteTeam(doc *domain.ConfigDocument, e *DeleteTeam) *ConflictError {
	if err := existingTeamConflict(doc, e.Team, e.Based); err != nil {
		return err
	}
	delete(doc.Teams, e.Team)
	deleteOrphanedKeys(doc)
	return nil
}

// deleteOrphanedKeys deletes the keys of teams that no longer exist. Otherwise they would become valid
// again if a team of the same name were created later.
func deleteOrphanedKeys(doc *domain.ConfigDocument) {
	for id, row := range doc.Keys {
		if _, ok := doc.Teams[row.Team]; !ok {
			delete(doc.Keys, id)
		}
	}
}

func grantKey(doc *domain.ConfigDocument, e *GrantKey) *ConflictError {
	if row, ok := doc.Keys[e.KeyID]; ok {
		return newKeyConflict(e.KeyID, 0, &row)
	}
	doc.Keys[e.KeyID] = domain.KeyRow{
		Revision:     doc.Version,
		Team:         e.Team,
		SecretSHA256: e.SecretSHA256,
		Granted:      e.Granted,
		Operator:     e.Operator,
	}
	return nil
}

func withdrawKey(doc *domain.ConfigDocument, e *WithdrawKey) *ConflictError {
	row, ok := doc.Keys[e.KeyID]
	if !ok {
		return newKeyConflict(e.KeyID, e.Based, nil)
	}
	if row.Revision != e.Based {
		return newKeyConflict(e.KeyID, e.Based, &row)
	}
	delete(doc.Keys, e.KeyID)
	return nil
}

func setQueue(doc *domain.ConfigDocument, e *SetQueue) *ConflictError {
	if err := queueConflict(doc, e.Queue, e.Based); err != nil {
		return err
	}
	row := e.Row
	row.Revision = doc.Version
	doc.Queues[e.Queue] = row
	return nil
}

func deleteQueue(doc *domain.ConfigDocument, e *DeleteQueue) *ConflictError {
	if _, ok := doc.Queues[e.Queue]; !ok {
		return &ConflictError{Path: "queues/" + string(e.Queue), Based: e.Based}
	}
	if err := queueConflict(doc, e.Queue, e.Based); err != nil {
		return err
	}
	delete(doc.Queues, e.Queue)
	return nil
}

func setPartitions(doc *domain.ConfigDocument, e *SetPartitions) *ConflictError {
	if !equalPartitions(doc.Partitions, e.Based) {
		return &ConflictError{Path: "partitions", Partitions: clonePartitions(doc.Partitions)}
	}
	doc.Partitions = clonePartitions(e.Partitions)
	return nil
}

func applyImport(doc *domain.ConfigDocument, e *Import) *ConflictError {
	current := doc.Version - 1
	if e.BasedVersion != current {
		return &ConflictError{Path: "document", Based: e.BasedVersion, Current: current}
	}
	if e.Table.Teams != nil {
		doc.Teams = importTeams(doc, e.Table.Teams)
		deleteOrphanedKeys(doc)
	}
	if e.Table.Keys != nil {
		doc.Keys = importKeys(doc, e.Table.Keys)
	}
	if e.Table.Queues != nil {
		doc.Queues = importQueues(doc, e.Table.Queues)
	}
	if e.Table.Partitions != nil {
		doc.Partitions = clonePartitions(e.Table.Partitions)
	}
	return nil
}

// importTeams returns the imported rows with their revisions. An unchanged row keeps its revision, so
// that pending edits based on it do not conflict.
func importTeams(doc *domain.ConfigDocument, table map[domain.TeamID]domain.TeamRow) map[domain.TeamID]domain.TeamRow {
	rows := make(map[domain.TeamID]domain.TeamRow, len(table))
	for id, row := range table {
		old, ok := doc.Teams[id]
		row.Revision = old.Revision
		if !ok || row != old {
			row.Revision = doc.Version
		}
		rows[id] = row
	}
	return rows
}

func importKeys(doc *domain.ConfigDocument, table map[string]domain.KeyRow) map[string]domain.KeyRow {
	rows := make(map[string]domain.KeyRow, len(table))
	for id, row := range table {
		old, ok := doc.Keys[id]
		row.Revision = doc.Version
		if ok && sameKey(row, old) {
			row.Revision = old.Revision
		}
		rows[id] = row
	}
	return rows
}

func sameKey(a, b domain.KeyRow) bool {
	return a.Team == b.Team && a.SecretSHA256 == b.SecretSHA256 &&
		a.Operator == b.Operator && a.Granted.Equal(b.Granted)
}

func importQueues(doc *domain.ConfigDocument, table map[domain.QueueID]domain.QueueRow) map[domain.QueueID]domain.QueueRow {
	rows := make(map[domain.QueueID]domain.QueueRow, len(table))
	for id, row := range table {
		old, ok := doc.Queues[id]
		row.Revision = old.Revision
		if !ok || row != old {
			row.Revision = doc.Version
		}
		rows[id] = row
	}
	return rows
}

func teamConflict(doc *domain.ConfigDocument, id domain.TeamID, based uint64) *ConflictError {
	row, ok := doc.Teams[id]
	if row.Revision == based {
		return nil
	}
	err := &ConflictError{Path: "teams/" + string(id), Based: based, Current: row.Revision}
	if ok {
		err.Team = &row
	}
	return err
}

func existingTeamConflict(doc *domain.ConfigDocument, id domain.TeamID, based uint64) *ConflictError {
	if _, ok := doc.Teams[id]; !ok {
		return &ConflictError{Path: "teams/" + string(id), Based: based}
	}
	return teamConflict(doc, id, based)
}

func queueConflict(doc *domain.ConfigDocument, id domain.QueueID, based uint64) *ConflictError {
	row, ok := doc.Queues[id]
	if row.Revision == based {
		return nil
	}
	err := &ConflictError{Path: "queues/" + string(id), Based: based, Current: row.Revision}
	if ok {
		err.Queue = &row
	}
	return err
}

// newKeyConflict returns a conflict whose current row omits the hash of the secret.
func newKeyConflict(id string, based uint64, row *domain.KeyRow) *ConflictError {
	err := &ConflictError{Path: "keys/" + id, Based: based}
	if row != nil {
		shown := *row
		shown.SecretSHA256 = ""
		err.Current = row.Revision
		err.Key = &shown
	}
	return err
}

func equalPartitions(a, b []domain.PartitionRow) bool {
	return slices.EqualFunc(a, b, func(x, y domain.PartitionRow) bool {
		return x.ID == y.ID && x.Region == y.Region && slices.Equal(x.Zones, y.Zones)
	})
}
