package backend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// hijack takes the connection over. The answer is then written by hand.
func hijack(w http.ResponseWriter) (*countedConn, *bufio.ReadWriter, bool) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, false
	}
	c, ok := nc.(*countedConn)
	return c, rw, ok
}

// hangUp ends the connection without an answer.
func hangUp(w http.ResponseWriter, reset bool) {
	nc, _, ok := hijack(w)
	if !ok {
		return
	}
	if reset {
		_ = nc.SetLinger(0)
	}
	_ = nc.Close()
}

// misbehave answers a request that was run in the way of the fault.
func misbehave(w http.ResponseWriter, id string, answer []byte, f Fault) {
	switch f.Kind {
	case CloseAfter, ResetAfter:
		hangUp(w, f.Kind == ResetAfter)
		return
	case Late:
		time.Sleep(f.Delay)
		writeAnswer(w, id, answer)
		return
	case Crossed:
		writeAnswer(w, "other-"+id, answer)
		return
	}
	nc, rw, ok := hijack(w)
	if !ok {
		return
	}
	defer func() { _ = nc.Close() }()
	writeByHand(rw.Writer, id, answer, f)
	_ = rw.Flush()
	switch f.Kind {
	case HalfClose:
		_ = nc.CloseWrite()
		_ = nc.SetReadDeadline(time.Now().Add(f.Delay))
		_, _ = io.Copy(io.Discard, nc)
	case Extra:
		// The connection stays open, so that the unsolicited bytes wait on it.
		_ = nc.SetReadDeadline(time.Now().Add(f.Delay))
		_, _ = io.Copy(io.Discard, nc)
	}
}

func writeByHand(w *bufio.Writer, id string, answer []byte, f Fault) {
	switch f.Kind {
	case Truncate:
		head(w, id, fmt.Sprintf("Content-Length: %d", len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
	case TruncateChunked:
		head(w, id, "Transfer-Encoding: chunked")
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(answer), answer)
	case TruncateHeader:
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-", headerRequestID, id)
	case NoLength:
		head(w, id, "Connection: close")
		_, _ = w.Write(answer)
	case Malformed:
		_, _ = w.WriteString("this is not HTTP\r\n\r\n")
	case LongHeader:
		head(w, id, "X-Long: "+strings.Repeat("a", 1<<20))
	case Extra:
		head(w, id, fmt.Sprintf("Content-Length: %d", len(answer)))
		_, _ = w.Write(answer)
		head(w, "unsolicited", "Content-Length: 4")
		_, _ = w.WriteString("evil")
	}
}

func head(w *bufio.Writer, id, line string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n\r\n", headerRequestID, id, line)
}
