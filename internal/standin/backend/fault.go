package backend

import "time"

// Kind is a way in which the stand-in misbehaves.
type Kind string

// Kinds of faults.
const (
	// None runs and answers the request.
	None Kind = ""
	// Slow runs the request Delay later than usual.
	Slow Kind = "slow"
	// NotRun answers 503 with X-Not-Run: true and does not run the request.
	NotRun Kind = "not_run"
	// CloseBefore closes the connection without running the request.
	CloseBefore Kind = "close_before"
	// ResetBefore is CloseBefore with a connection reset.
	ResetBefore Kind = "reset_before"
	// CloseAfter runs the request and closes the connection without an answer.
	CloseAfter Kind = "close_after"
	// ResetAfter is CloseAfter with a connection reset.
	ResetAfter Kind = "reset_after"
	// HalfClose runs the request, ends the sending side without an answer and keeps reading for Delay.
	HalfClose Kind = "half_close"
	// Truncate runs the request and cuts the answer's body off in the middle.
	Truncate Kind = "truncate"
	// TruncateChunked is Truncate for a body without a declared length.
	TruncateChunked Kind = "truncate_chunked"
	// TruncateHeader runs the request and cuts the answer off in its header.
	TruncateHeader Kind = "truncate_header"
	// NoLength answers with a body that ends with the connection.
	NoLength Kind = "no_length"
	// Late runs the request at once and answers Delay later, whether or not the caller waits.
	Late Kind = "late"
	// Extra answers and sends a second, unsolicited answer after it.
	Extra Kind = "extra"
	// Crossed answers with the ID of another request.
	Crossed Kind = "crossed"
	// Malformed answers with bytes that are not HTTP.
	Malformed Kind = "malformed"
	// LongHeader answers with a header of one megabyte.
	LongHeader Kind = "long_header"
)

// Fault is one misbehavior.
type Fault struct {
	Kind  Kind
	Delay time.Duration
}
