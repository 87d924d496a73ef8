package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Errors of Read. None of these bodies has been passed on, so their requests have not run.
type (
	// EvictedError reports a body that stalled and gave way to others.
	EvictedError struct{}
	// FullError reports a body for which there was no memory, while all others made progress.
	FullError struct{}
	// TimeoutError reports a body that was not complete in time.
	TimeoutError struct{ Limit time.Duration }
	// TooLargeError reports a body that is longer than permitted.
	TooLargeError struct{ Limit int64 }
)

func (e *EvictedError) Error() string {
	return "the body stalled, and its memory was needed for others; send the request again without a pause"
}

func (e *FullError) Error() string {
	return "this instance has no memory for another body now; send the request again later"
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("the body was not complete within %s; send the request again without a pause", e.Limit)
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes; send a smaller one", e.Limit)
}

const (
	// A body is read into segments of doubling size, so that no more memory is taken than has arrived
	// and once as much, up to maxSegmentBytes.
	firstSegmentBytes = 1 << 10
	maxSegmentBytes   = 16 << 10
	// discardTimeout bounds how long the rest of a refused body is read and discarded, which lets the
	// caller see the response.
	discardTimeout = time.Second
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// Limits are the bounds of one body.
type Limits struct {
	MaxBytes int64
	// Factor is the memory that the request takes until it is answered, as a multiple of its body. It is
	// counted once the body is complete.
	Factor  int64
	Timeout time.Duration
}

// Read reads the body of a request into memory. The caller calls release, which is never nil, when the request is
// answered. After an error the connection has to be closed, for which Read sets the response header.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, l Limits) (raw []byte, release func(), err error) {
	controller := http.NewResponseController(w)
	// A writer without deadlines does not come from a connection.
	setDeadline := func(t time.Time) { _ = controller.SetReadDeadline(t) }
	x := b.open(func() { setDeadline(expired) })
	setDeadline(time.Now().Add(l.Timeout))
	if raw, err = x.read(r.Body, r.ContentLength, l); err == nil {
		// net/http takes an expired read deadline of a request that is being handled for a disconnect.
		setDeadline(time.Time{})
		return raw, x.close, nil
	}
	x.close()
	w.Header().Set("Connection", "close")
	var full *FullError
	var tooLarge *TooLargeError
	if errors.As(err, &full) || errors.As(err, &tooLarge) {
		setDeadline(time.Now().Add(discardTimeout))
	} else {
		// Otherwise net/http waits for the rest of the body after the response.
		setDeadline(expired)
	}
	return nil, func() {}, err
}

func (x *body) read(r io.Reader, length int64, l Limits) ([]byte, error) {
	if length > l.MaxBytes {
		return nil, &TooLargeError{Limit: l.MaxBytes}
	}
	if length < 0 {
		length = l.MaxBytes
	}
	segments, total, err := x.readSegments(r, length)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.budget.mu.Lock()
		evicted := x.evicted
		x.budget.mu.Unlock()
		if evicted {
			return nil, &EvictedError{}
		}
		x.budget.timedOut.Inc(1)
		return nil, &TimeoutError{Limit: l.Timeout}
	case err != nil:
		return nil, err
	case total > length:
		return nil, &TooLargeError{Limit: l.MaxBytes}
	}
	if err := x.complete(total * l.Factor); err != nil {
		return nil, err
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	raw := make([]byte, 0, total)
	for _, s := range segments {
		raw = append(raw, s...)
	}
	return raw, nil
}

// readSegments reads up to the given length and one byte more, to find the end.
func (x *body) readSegments(r io.Reader, length int64) (segments [][]byte, total int64, err error) {
	next := int64(firstSegmentBytes)
	var end [1]byte
	for {
		if total >= length {
			n, err := r.Read(end[:])
			if n > 0 {
				return segments, length + 1, nil
			}
			if err == io.EOF {
				return segments, total, nil
			}
			if err != nil {
				return nil, 0, err
			}
			continue
		}
		size := min(next, length-total)
		next = min(2*next, maxSegmentBytes)
		if err := x.grow(size); err != nil {
			return nil, 0, err
		}
		segment := make([]byte, 0, size)
		for int64(len(segment)) < size && err == nil {
			var n int
			n, err = r.Read(segment[len(segment):size])
			segment = segment[:len(segment)+n]
			x.arrived(n)
		}
		total += int64(len(segment))
		segments = append(segments, segment)
		if err == io.EOF {
			return segments, total, nil
		}
		if err != nil {
			return nil, 0, err
		}
	}
}
