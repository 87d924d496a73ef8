package daemon

import (
	"net/http"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/app/confsync"
	"auburnpier/internal/app/requestplane"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// admission authenticates callers of the request plane against the configuration in force.
type admission struct {
	config *confsync.Sync
}

// Admit implements requestplane.Admission. An open queue requires no key, but a
// key that is sent must be valid, because it identifies the team.
func (a admission) Admit(r *http.Request, queue domain.QueueID) (requestplane.Caller, error) {
	current := a.config.Current()
	if current == nil {
		return requestplane.Caller{}, refusal.New(http.StatusServiceUnavailable, refusal.NotReady,
			"there is no configuration yet", "send the request to another instance")
	}
	row, ok := current.Doc.Queues[queue]
	if !ok {
		return requestplane.Caller{}, refusal.New(http.StatusNotFound, refusal.QueueUnknown,
			"there is no such queue", "check the queue's name; operators list them with: auburnpier queues show")
	}
	if row.Open && r.Header.Get("Authorization") == "" {
		return requestplane.Caller{Row: row}, nil
	}
	key, err := api.KeyFromHeader(r.Header)
	if err != nil {
		return requestplane.Caller{}, err
	}
	id, err := a.config.Resolve(key)
	if err != nil {
		return requestplane.Caller{}, err
	}
	team := current.Doc.Teams[id.Team]
	if team.LimitRequests == 0 {
		// With a limit of 0 the request would wait in the queue until its deadline.
		return requestplane.Caller{}, refusal.New(http.StatusForbidden, refusal.TeamLimit,
			"the team may have no request in flight", "ask the operators for a limit above 0")
	}
	return requestplane.Caller{Team: id.Team, Share: team.Share, Row: row}, nil
}
