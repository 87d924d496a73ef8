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

// Bounds of the fields. They keep sums over all teams inside int64.
const (
	maxNameBytes     = 64
	maxShare         = 1e6
	maxResource      = int64(1e12)
	maxRequests      = int64(1e9)
	maxQueueWaiting  = 1_000_000
	maxQueueTimeout  = int64(24 * 60 * 60 * 1000) // milliseconds
	maxPartitionRows = 256
	hashHexLen       = 64
)

// Rules of names as operators read them. Row names are lower-case because they
// are JSON names, and those are decoded without regard to case.
const (
	nameRule    = "1 to 64 letters, digits, '-', '_' or '.'"
	rowNameRule = "1 to 64 lower-case letters, digits, '-', '_' or '.'"
)

// Validate returns every fault of the document, in the order of their paths.
func Validate(doc domain.ConfigDocument) []Fault {
	var c collector
	for _, id := range slices.Sorted(maps.Keys(doc.Teams)) {
		c.team(id, doc.Teams[id], doc.Version)
	}
	for _, id := range slices.Sorted(maps.Keys(doc.Keys)) {
		c.key(id, doc.Keys[id], doc)
	}
	for _, id := range slices.Sorted(maps.Keys(doc.Queues)) {
		c.queue(id, doc.Queues[id], doc.Version)
	}
	c.partitions(doc.Partitions)
	if n := len(doc.RecentEdits); n > maxRecentEdits {
		c.add("recent_edits", strconv.Itoa(n)+" entries", "at most 256 entries", "drop the oldest entries")
	}
	return c.faults
}

// lockoutFaults refuses an edit after which no operator key is left, because
// no instance could accept a further edit.
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
	var c collector
	if !validName(e.ID) {
		c.add("id", strconv.Quote(clip(e.ID)), nameRule, "send a unique edit ID")
	}
	if n := e.changes(); n != 1 {
		c.add("edit", fmt.Sprintf("%d changes", n), "exactly one change", "send one edit for each change, or import a table")
	}
	return c.faults
}

type collector struct{ faults []Fault }

func (c *collector) add(path, given, allowed, remedy string) {
	c.faults = append(c.faults, Fault{Path: path, Given: given, Allowed: allowed, Remedy: remedy})
}

func (c *collector) name(path, id string) {
	if !validName(id) {
		c.add(path, strconv.Quote(clip(id)), nameRule, "choose another name")
	}
}

func (c *collector) rowName(path, id string) {
	if !validName(id) || !lowerASCII(id) {
		c.add(path, strconv.Quote(clip(id)), rowNameRule, "choose another name")
	}
}

func (c *collector) revision(path string, revision, version uint64) {
	if revision > version {
		c.add(path+"/revision", strconv.FormatUint(revision, 10), "at most the version of the document", "leave the revision out")
	}
}

func (c *collector) amount(path string, given, most int64) {
	if given < 0 || given > most {
		c.add(path, strconv.FormatInt(given, 10), fmt.Sprintf("0 to %d", most), "correct the number")
	}
}

func (c *collector) team(id domain.TeamID, row domain.TeamRow, version uint64) {
	path := "teams/" + clip(string(id))
	c.rowName(path, string(id))
	c.revision(path, row.Revision, version)
	if math.IsNaN(row.Share) || row.Share <= 0 || row.Share > maxShare {
		c.add(path+"/share", strconv.FormatFloat(row.Share, 'g', -1, 64), "above 0, at most 1000000",
			"give the team a positive weight")
	}
	c.amount(path+"/limit/cpu_milli", row.Limit.CPUMilli, maxResource)
	c.amount(path+"/limit/memory_mb", row.Limit.MemoryMB, maxResource)
	c.amount(path+"/limit/accelerators", row.Limit.Accelerators, maxResource)
	c.amount(path+"/limit_requests", row.LimitRequests, maxRequests)
}

func (c *collector) key(id string, row domain.KeyRow, doc domain.ConfigDocument) {
	path := "keys/" + clip(id)
	c.rowName(path, id)
	c.revision(path, row.Revision, doc.Version)
	if _, ok := doc.Teams[row.Team]; !ok {
		c.add(path+"/team", strconv.Quote(clip(string(row.Team))), "a team of the table", "add the team or withdraw the key")
	}
	// The given hash is left out: an operator may have pasted the secret here.
	if !validHash(row.SecretSHA256) {
		c.add(path+"/secret_sha256", fmt.Sprintf("%d bytes", len(row.SecretSHA256)),
			"the SHA-256 of the secret as 64 lower-case hex digits", "grant the key again")
	}
}

func (c *collector) queue(id domain.QueueID, row domain.QueueRow, version uint64) {
	path := "queues/" + clip(string(id))
	c.rowName(path, string(id))
	c.revision(path, row.Revision, version)
	if row.MaxWaiting < 1 || row.MaxWaiting > maxQueueWaiting {
		c.add(path+"/max_waiting", strconv.Itoa(row.MaxWaiting), "1 to 1000000", "correct the number")
	}
	if row.TimeoutMS < 1 || row.TimeoutMS > maxQueueTimeout {
		c.add(path+"/timeout_ms", strconv.FormatInt(row.TimeoutMS, 10), "1 to 86400000 milliseconds", "correct the number")
	}
}

func (c *collector) partitions(rows []domain.PartitionRow) {
	if len(rows) > maxPartitionRows {
		c.add("partitions", strconv.Itoa(len(rows))+" rows", "at most 256 rows", "merge partitions")
	}
	seen := make(map[domain.PartitionID]bool, len(rows))
	zones := make(map[domain.ZoneID]domain.PartitionID)
	for i, row := range rows {
		path := fmt.Sprintf("partitions/%d", i)
		c.name(path+"/id", string(row.ID))
		if seen[row.ID] {
			c.add(path+"/id", strconv.Quote(clip(string(row.ID))), "a name that no other partition has", "rename or merge the partition")
		}
		seen[row.ID] = true
		c.name(path+"/region", string(row.Region))
		c.zones(path+"/zones", row, zones)
	}
}

func (c *collector) zones(path string, row domain.PartitionRow, owner map[domain.ZoneID]domain.PartitionID) {
	if len(row.Zones) == 0 {
		c.add(path, "empty", "at least one availability zone", "name the zones of the partition or remove it")
	}
	for i, z := range row.Zones {
		p := fmt.Sprintf("%s/%d", path, i)
		c.name(p, string(z))
		if other, ok := owner[z]; ok {
			c.add(p, strconv.Quote(clip(string(z))), "a zone of no other partition",
				fmt.Sprintf("remove the zone here or from partition %s", clip(string(other))))
		}
		owner[z] = row.ID
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

// clip bounds a name in messages.
func clip(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes] + "..."
}
