package api

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/refusal"
)

// Table is the configuration as operators see it: without the hashes of keys.
type Table struct {
	Version    uint64                             `json:"version"`
	Teams      map[domain.TeamID]domain.TeamRow   `json:"teams"`
	Keys       map[string]domain.KeyRow           `json:"keys"`
	Queues     map[domain.QueueID]domain.QueueRow `json:"queues"`
	Partitions []domain.PartitionRow              `json:"partitions"`
}

func (s *Server) table(w http.ResponseWriter, _ *http.Request, _ confsync.Identity) {
	current := s.o.Config.Current()
	if current == nil {
		s.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.NotReady,
			"there is no configuration yet", "wait, or check that the store can be reached"))
		return
	}
	doc := current.Doc
	t := Table{Version: doc.Version, Teams: doc.Teams, Queues: doc.Queues, Partitions: doc.Partitions}
	t.Keys = make(map[string]domain.KeyRow, len(doc.Keys))
	for id, row := range doc.Keys {
		row.SecretSHA256 = ""
		t.Keys[id] = row
	}
	httpjson.Write(w, http.StatusOK, t)
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request, _ confsync.Identity) {
	edit, release, err := decode[confdoc.Edit](s, w, r)
	defer release()
	if err != nil {
		s.refuse(w, err)
		return
	}
	applied, err := s.o.Config.Apply(r.Context(), edit)
	if err != nil {
		s.refuseEdit(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, applied)
}

// refuseEdit adds every fault of a wrong table, or the current row of a conflict.
func (s *Server) refuseEdit(w http.ResponseWriter, err error) {
	body := refusal.Body{Refusal: confsync.Refusal(err)}
	var conflict *confdoc.ConflictError
	if errors.As(err, &conflict) {
		body.Current = conflict
	}
	var wrong *confdoc.InvalidError
	if errors.As(err, &wrong) {
		body.Faults = wrong.Faults
	}
	s.refuseWith(w, body)
}

func (s *Server) cellStatus(w http.ResponseWriter, r *http.Request, _ confsync.Identity) {
	httpjson.Write(w, http.StatusOK, s.o.Cell.Status(r.Context()))
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request, _ confsync.Identity) {
	s.o.Cell.Drain()
	httpjson.Write(w, http.StatusAccepted, map[string]string{"status": "draining"})
}
