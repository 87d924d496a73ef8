package main

import (
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// baseline is a plain reverse proxy: it copies one request to the next server
// in turn and its answer back, without limits, keys or retries.
type baseline struct {
	transport *http.Transport
	servers   []string
	next      atomic.Uint64
}

func newBaseline(count int) *baseline {
	b := &baseline{transport: &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	for i := range count {
		b.servers = append(b.servers, backendAddress(i))
	}
	return b
}

// ServeHTTP implements http.Handler.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server := b.servers[b.next.Add(1)%uint64(len(b.servers))]
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: server, Path: r.URL.Path, RawQuery: r.URL.RawQuery},
		Header:        r.Header.Clone(),
		Body:          r.Body,
		ContentLength: r.ContentLength,
		Host:          r.Host,
	}
	out.Header.Del("Connection")
	resp, err := b.transport.RoundTrip(out.WithContext(r.Context()))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	copyBody(w, resp.Body)
}

// copyBody copies with a pooled buffer. io.Copy would use the ReadFrom of the
// answer, which allocates 32 KB for each request and makes the baseline weak.
func copyBody(w io.Writer, r io.Reader) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := r.Read(*buf)
		if n > 0 {
			if _, err := w.Write((*buf)[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}
