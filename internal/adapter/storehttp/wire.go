// Package storehttp implements the protocol of the platform's store, JSON over plain HTTP: Client
// implements port.Store, and Handler serves any port.Store.
//
// The calls are POST /v1/get, /v1/list, /v1/cas, /v1/delete and /v1/watch. Status 404 means that the
// key does not exist, 409 a revision conflict (the body has the current entry), and 503 that the call
// had no effect.
package storehttp

import "auburnpier/internal/port"

const (
	pathGet    = "/v1/get"
	pathList   = "/v1/list"
	pathCAS    = "/v1/cas"
	pathDelete = "/v1/delete"
	pathWatch  = "/v1/watch"
)

// maxMessageBytes limits a request, and a response with one entry: it fits the largest value in base64
// with the other fields. maxListResponseBytes limits the responses of list and watch.
const (
	maxMessageBytes      = 2 * port.MaxValueBytes
	maxListResponseBytes = 64 << 20
)

type request struct {
	Key      string `json:"key,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	Expected int64  `json:"expected,omitempty"`
	Value    []byte `json:"value,omitempty"`
	After    int64  `json:"after,omitempty"`
	WaitMS   int64  `json:"wait_ms,omitempty"`
}

type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type response struct {
	Entry    *entry  `json:"entry,omitempty"`
	Entries  []entry `json:"entries,omitempty"`
	Revision int64   `json:"revision,omitempty"`
	Gap      bool    `json:"gap,omitempty"`
	Error    string  `json:"error,omitempty"`
}

func toWire(e port.Entry) *entry {
	return &entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

func (e *entry) toEntry() port.Entry {
	if e == nil {
		return port.Entry{}
	}
	return port.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
