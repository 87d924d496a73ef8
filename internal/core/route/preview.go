package route

import (
	"cmp"
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// MaxPreviewServers bounds the servers that a preview lists.
const MaxPreviewServers = 8

// Outcomes of a request in a preview.
const (
	// PreviewRuns means that a server of this instance would get the request at once.
	PreviewRuns = "runs"
	// PreviewWaits means that the request would wait, or go to another instance that reports a free slot.
	PreviewWaits = "waits"
	// PreviewRefused means that the request would be refused.
	PreviewRefused = "refused"
)

// Preview tells what would become of a request that is not sent.
type Preview struct {
	Queue   domain.QueueID `json:"queue"`
	Team    domain.TeamID  `json:"team"`
	Outcome string         `json:"outcome"`
	// Reason is why the request would wait or be refused, and Remedy what can be done.
	Reason string `json:"reason,omitempty"`
	Remedy string `json:"remedy,omitempty"`
	// Server would get the request now.
	Server domain.BackendID `json:"server,omitempty"`
	// Waiting is the number of requests of the queue that wait at this instance, MaxWaiting its bound.
	Waiting    int `json:"waiting"`
	MaxWaiting int `json:"max_waiting"`
	// InFlight is the number of the team's requests in flight at this instance, and MaxInFlight what the instance may have of them.
	InFlight    int   `json:"in_flight"`
	MaxInFlight int64 `json:"max_in_flight"`
	// Servers are some of the servers of the queue, the cheapest first, and ServersTotal is the number of all.
	Servers      []ServerView `json:"servers,omitempty"`
	ServersTotal int          `json:"servers_total"`
	// FreeSlots is the number of slots that requests of the queue could take now at this instance.
	FreeSlots int `json:"free_slots"`
}

// ServerView describes a server of the queue.
type ServerView struct {
	Server    domain.BackendID `json:"server"`
	Region    domain.RegionID  `json:"region,omitempty"`
	Zone      domain.ZoneID    `json:"zone,omitempty"`
	Condition Condition        `json:"condition"`
	// Usable is the number of slots that this instance may use now, InUse those of them in use.
	Usable int `json:"usable_slots"`
	InUse  int `json:"slots_in_use"`
	// LatencyMS is the observed latency of the queue's requests, CostMS what it comes to with the load and the network. It is zero for a
	// server that is not chosen now.
	LatencyMS float64 `json:"latency_ms"`
	CostMS    float64 `json:"cost_ms,omitempty"`
}

// Preview returns the server that Choose would return, or nil, and a description of the queue's servers. It changes nothing.
func (t *Table) Preview(queue domain.QueueID, held HeldSlots, now time.Time) (chosen *Server, views []ServerView, free int) {
	// Choose notes on the servers which ejections have ended.
	scratch := &Table{self: t.self}
	for _, s := range t.servers {
		if s.Serves(queue) {
			c := *s
			scratch.servers = append(scratch.servers, &c)
		}
	}
	chosen = scratch.Choose(queue, held, nil, now)
	for _, s := range scratch.servers {
		slots := scratch.usableSlots(s, queue, held, now)
		v := ServerView{Server: s.Info.ID, Region: s.Info.Location.Region, Zone: s.Info.Location.Zone, Condition: scratch.Condition(s, now),
			Usable: slots, InUse: s.InUse, LatencyMS: milliseconds(s.Latency(queue, now))}
		if slots > s.InUse {
			v.CostMS = milliseconds(s.expectedLatency(queue, slots, now) + t.networkCost(s))
		}
		views = append(views, v)
	}
	slices.SortStableFunc(views, func(a, b ServerView) int {
		if (a.CostMS == 0) != (b.CostMS == 0) {
			// A server without a free slot has no cost.
			return cmp.Compare(b.CostMS, a.CostMS)
		}
		return cmp.Compare(a.CostMS, b.CostMS)
	})
	return chosen, views, scratch.FreeSlots(queue, held, now)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
