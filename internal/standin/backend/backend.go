// Package backend is a stand-in of a backend server. It runs requests over
// HTTP, counts what runs at once, records which requests ran, and injects
// faults. The answer of a request is its own body, or its ID where it has none;
// ?bytes=N asks for N bytes derived from the ID instead.
package backend

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// headerRequestID names a request. The stand-in returns it with the answer.
const headerRequestID = "X-Request-Id"

// Server is one stand-in. Close it after use.
type Server struct {
	http     *http.Server
	listener *countingListener
	address  string
	work     time.Duration

	mu      sync.Mutex
	steady  Fault
	queue   []Fault
	ran     map[string]int
	seen    map[string]int
	header  http.Header
	running int
	most    int
}

// Start returns a server that listens on a free port of the loopback address
// and works on each request for the given time.
func Start(work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: &countingListener{Listener: l},
		address:  l.Addr().String(),
		work:     work,
		ran:      make(map[string]int),
		seen:     make(map[string]int),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.address }

// Close stops the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetFault makes every request misbehave until it is called again.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steady = f
}

// Inject makes the next requests misbehave, one fault each, in order.
func (s *Server) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, faults...)
}

// Ran returns how often each request ID was run.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyCounts(s.ran)
}

// Seen returns how often the header of each request ID arrived.
func (s *Server) Seen() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyCounts(s.seen)
}

// LastHeader returns the header of the latest request.
func (s *Server) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header.Clone()
}

// MostRunning returns the largest number of requests that ran at once.
func (s *Server) MostRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Running returns the requests that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Connections returns the open connections and the most that were open at once.
func (s *Server) Connections() (open, most int) { return s.listener.counts() }

// CloseIdle closes every connection on which no request runs.
func (s *Server) CloseIdle() { s.listener.closeAll() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	f := s.arrive(id, r.Header)
	defer s.leave()
	switch f.Kind {
	case CloseBefore, ResetBefore:
		hangUp(w, f.Kind == ResetBefore)
		return
	case NotRun:
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Slow:
		time.Sleep(f.Delay)
	}
	s.run(w, r, id, f)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, id string, f Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// A request that is not whole is not run.
		return
	}
	s.record(id)
	time.Sleep(s.work)
	answer := answerBody(r, id, body)
	if f.Kind == None || f.Kind == Slow {
		writeAnswer(w, id, answer)
		return
	}
	misbehave(w, id, answer, f)
}

func writeAnswer(w http.ResponseWriter, id string, answer []byte) {
	h := w.Header()
	h[headerRequestID] = []string{id}
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(answer))}
	_, _ = w.Write(answer)
}

// answerBody returns the body that belongs to the request and to no other.
func answerBody(r *http.Request, id string, body []byte) []byte {
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err == nil {
		return Pattern(id, n)
	}
	if len(body) > 0 {
		return body
	}
	return []byte(id)
}

// Pattern returns n bytes that repeat the ID.
func Pattern(id string, n int) []byte {
	out := make([]byte, 0, n+len(id)+1)
	for len(out) < n {
		out = append(out, id...)
		out = append(out, '.')
	}
	return out[:n]
}

func (s *Server) arrive(id string, h http.Header) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	s.header = h
	s.running++
	s.most = max(s.most, s.running)
	if len(s.queue) == 0 {
		return s.steady
	}
	f := s.queue[0]
	s.queue = s.queue[1:]
	return f
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) record(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func copyCounts(in map[string]int) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
