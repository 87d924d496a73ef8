// Package cellhttp carries calls between the instances of a cell: CBOR bodies
// over HTTP/1.1. net/http closes a connection whose call ran out of time, so a
// connection that went silent is never used again; grpc-go would keep it for
// at least 10 s, the shortest keepalive that it permits.
package cellhttp

// Paths of the calls.
const (
	pathSubmit   = "/cell/submit"
	pathCancel   = "/cell/cancel"
	pathState    = "/cell/state"
	pathWaiting  = "/cell/waiting"
	pathExplain  = "/cell/explain"
	pathOverview = "/cell/overview"
	pathHello    = "/cell/hello"
	pathApprove  = "/cell/approve"
	pathStore    = "/cell/store"
	pathLooks    = "/cell/looks"
	pathOrders   = "/cell/orders"
	pathRegistry = "/cell/registry"
)

// maxBodyBytes is above the largest submission and a list of all stored jobs.
const maxBodyBytes = 64 << 20
