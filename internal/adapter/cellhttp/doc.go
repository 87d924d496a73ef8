// Package cellhttp implements calls between the instances of a cell as CBOR
// bodies over HTTP/1.1. net/http closes a connection whose call timed out, so an
// unresponsive connection is never reused; grpc-go would keep it for at least
// 10 s, the shortest keepalive interval that it permits.
package cellhttp

const (
	pathSubmit   = "/cell/submit"
	pathCancel   = "/cell/cancel"
	pathState    = "/cell/state"
	pathWaiting  = "/cell/waiting"
	pathExplain  = "/cell/explain"
	pathPreview  = "/cell/preview"
	pathOverview = "/cell/overview"
	pathAnnounce = "/cell/hello"
	pathApprove  = "/cell/approve"
	pathStore    = "/cell/store"
	pathPolls    = "/cell/looks"
	pathOrders   = "/cell/orders"
	pathRegistry = "/cell/registry"
)

// maxBodyBytes exceeds the largest submission and a list of all stored jobs.
const maxBodyBytes = 64 << 20
