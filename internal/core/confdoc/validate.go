package confdoc

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"auburnpier/internal/domain"
)

// Limits of the fields. They keep sums over all teams within int64.
const (
	maxNameBytes      = 64
	maxShare          = 1e6
	maxResourceAmount = int64(1e12)
	maxLimitRequests  = int64(1e9)
	maxQueueWaiting   = 1_000_000
	maxQueueTimeoutMS = int64(24 * 60 * 60 * 1000)
	maxPartitionRows  = 256
	hashHexLen        = 64
)

// Descriptions of valid names for operators. Row names are lower-case because they are JSON object
// names, which encoding/json matches case-insensitively.
const (
	nameRule    = "1 to 64 letters, digits, '-', '_' or '.'"
	rowNameRule = "1 to 64 lower-case letters, digits, '-', '_' or '.'"
)

// Validate returns every fault of the document: first of the teams, then of keys, queues, partitions
// and recent edits.
func Validate(doc domain.ConfigDocument) []Fault {
	var c faultCollector
	for _, id := range slices.Sorted(maps.Keys(doc.Teams)) {
		c.checkTeam(id, doc.Teams[id], doc.Version)
	}
	for _, id := range slices.Sorted(maps.Keys(doc.Keys)) {
		c.checkKey(id, doc.Keys[id], doc)
	}
	for _, id := range slices.Sorted(maps.Keys(doc.Queues)) {
		c.checkQueue(id, doc.Queues[id], doc.Version)
	}
	c.checkPartitions(doc.Partitions)
	if n := len(doc.RecentEdits); n > maxRecentEdits {
		c.add("recent_edits", strconv.Itoa(n)+" entries", "at most 256 entries", "drop the oldest entries")
	}
	return c.faults
}

// lockoutFaults returns a fault if the edit would remove the last operator key, because no instance
// could accept another edit afterwards.
func lockoutFaults(before, after domain.ConfigDocument) []Fault {
	if operatorKeys(before) == 0 || operatorKeys(after) > 0 {
		return nil
	}
	return []Fault{{
		Path: "keys", Given: "no operator key", Allowed: "at least one operator key",
		Remedy: "grant another operator key first",
	}}
}

func operatorKeys(doc domain.ConfigDocument) int {
	n := 0
	for _, k := range doc.Keys {
		if k.Operator {
			n++
		}
	}
	return n
}

func editFaults(e Edit) []Fault {
	var c faultCollector
	if !validName(e.ID) {
		c.add("id", strconv.Quote(truncateName(e.ID)), nameRule, "send a unique edit ID")
	}
	if n := e.countChanges(); n != 1 {
		c.add("edit", fmt.Sprintf("%d changes", n), "exactly one change", "send one edit for each change, or import a table")
	}
	return c.faults
}

type faultCollector struct{ faults []Fault }

func (c *faultCollector) add(path, given, allowed, remedy string) {
	c.faults = append(c.faults, Fault{Path: path, Given: given, Allowed: allowed, Remedy: remedy})
}

func (c *faultCollector) checkName(path, id string) {
	if !validName(id) {
		c.add(path, strconv.Quote(truncateName(id)), nameRule, "choose another name")
	}
}

func (c *faultCollector) checkRowName(path, id string) {
	if !validName(id) || !hasOnlyLowerASCII(id) {
		c.add(path, strconv.Quote(truncateName(id)), rowNameRule, "choose another name")
	}
}

func (c *faultCollector) checkRevision(path string, revision, version uint64) {
	if revision > version {
		c.add(path+"/revision", strconv.FormatUint(revision, 10), "at most the version of the document", "leave the revision out")
	}
}

func (c *faultCollector) checkRange(path string, given, limit int64) {
	if given < 0 || given > limit {
		c.add(path, strconv.FormatInt(given, 10), fmt.Sprintf("0 to %d", limit), "correct the number")
	}
}

func (c *faultCollector) checkTeam(id domain.TeamID, row domain.TeamRow, version uint64) {
	path := "teams/" + truncateName(string(id))
	c.checkRowName(path, string(id))
	c.checkRevision(path, row.Revision, version)
	if math.IsNaN(row.Share) || row.Share <= 0 || row.Share > maxShare {
		c.add(path+"/share", strconv.FormatFloat(row.Share, 'g', -1, 64), "above 0, at most 1000000",
			"give the team a positive weight")
	}
	c.checkRange(path+"/limit/cpu_milli", row.Limit.CPUMilli, maxResourceAmount)
	c.checkRange(path+"/limit/memory_mb", row.Limit.MemoryMB, maxResourceAmount)
	c.checkRange(path+"/limit/accelerators", row.Limit.Accelerators, maxResourceAmount)
	c.checkRange(path+"/limit_requests", row.LimitRequests, maxLimitRequests)
}

func (c *faultCollector) checkKey(id string, row domain.KeyRow, doc domain.ConfigDocument) {
	path := "keys/" + truncateName(id)
	c.checkRowName(path, id)
	c.checkRevision(path, row.Revision, doc.Version)
	if _, ok := doc.Teams[row.Team]; !ok {
		c.add(path+"/team", strconv.Quote(truncateName(string(row.Team))), "a team of the table", "add the team or withdraw the key")
	}
	// The value is omitted from the fault: an operator may have pasted the secret itself.
	if !validHash(row.SecretSHA256) {
		c.add(path+"/secret_sha256", fmt.Sprintf("%d bytes", len(row.SecretSHA256)),
			"the SHA-256 of the secret as 64 lower-case hex digits", "grant the key again")
	}
}

func (c *faultCollector) checkQueue(id domain.QueueID, row domain.QueueRow, version uint64) {
	path := "queues/" + truncateName(string(id))
	c.checkRowName(path, string(id))
	c.checkRevision(path, row.Revision, version)
	if row.MaxWaiting < 1 || row.MaxWaiting > maxQueueWaiting {
		c.add(path+"/max_waiting", strconv.Itoa(row.MaxWaiting), "1 to 1000000", "correct the number")
	}
	if row.TimeoutMS < 1 || row.TimeoutMS > maxQueueTimeoutMS {
		c.add(path+"/timeout_ms", strconv.FormatInt(row.TimeoutMS, 10), "1 to 86400000 milliseconds", "correct the number")
	}
}

func (c *faultCollector) checkPartitions(rows []domain.PartitionRow) {
	if len(rows) > maxPartitionRows {
		c.add("partitions", strconv.Itoa(len(rows))+" rows", "at most 256 rows", "merge partitions")
	}
	seen := make(map[domain.PartitionID]bool, len(rows))
	zones := make(map[domain.ZoneID]domain.PartitionID)
	for i, row := range rows {
		path := fmt.Sprintf("partitions/%d", i)
		c.checkName(path+"/id", string(row.ID))
		if seen[row.ID] {
			c.add(path+"/id", strconv.Quote(truncateName(string(row.ID))), "a name that no other partition has", "rename or merge the partition")
		}
		seen[row.ID] = true
		c.checkName(path+"/region", string(row.Region))
		c.checkZones(path+"/zones", row, zones)
	}
}

func (c *faultCollector) checkZones(path string, row domain.PartitionRow, zoneOwners map[domain.ZoneID]domain.PartitionID) {
	if len(row.Zones) == 0 {
		c.add(path, "empty", "at least one availability zone", "name the zones of the partition or remove it")
	}
	for i, z := range row.Zones {
		p := fmt.Sprintf("%s/%d", path, i)
		c.checkName(p, string(z))
		if other, ok := zoneOwners[z]; ok {
			c.add(p, strconv.Quote(truncateName(string(z))), "a zone of no other partition",
				fmt.Sprintf("remove the zone here or from partition %s", truncateName(string(other))))
		}
		zoneOwners[z] = row.ID
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		b := s[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '-' && b != '_' && b != '.' {
			return false
		}
	}
	return true
}

func validHash(s string) bool {
	if len(s) != hashHexLen {
		return false
	}
	b, err := hex.DecodeString(s)
	return err == nil && hex.EncodeToString(b) == s
}

// truncateName truncates a name for use in a message.
func truncateName(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes] + "..."
}
