// Package storehttp speaks the platform store's protocol over plain HTTP with
// JSON bodies: Client implements port.Store and Handler serves any port.Store.
//
// Calls: POST /v1/get, /v1/list, /v1/cas, /v1/delete and /v1/watch. A status of
// 404 is a missing key, 409 a conflict with the current entry in the body, and
// 503 a call that had no effect.
package storehttp

import "auburnpier/internal/port"

// Paths of the calls.
const (
	pathGet    = "/v1/get"
	pathList   = "/v1/list"
	pathCAS    = "/v1/cas"
	pathDelete = "/v1/delete"
	pathWatch  = "/v1/watch"
)

// maxMessageBytes bounds a message: the largest value in base64 with room for
// the other fields. Lists are bounded by maxListBytes.
const (
	maxMessageBytes = 2 * port.MaxValueBytes
	maxListBytes    = 64 << 20
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

func (e *entry) entry() port.Entry {
	if e == nil {
		return port.Entry{}
	}
	return port.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
