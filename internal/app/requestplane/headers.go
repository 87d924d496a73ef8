package requestplane

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// Headers of the request plane, in canonical form.
const (
	// HeaderIdempotency is "yes" or "no". GET and HEAD default to yes, others to no.
	HeaderIdempotency = "Idempotency"
	// HeaderTimeout is the time left for the request in milliseconds. It is
	// relative, so that it does not depend on the clocks of two machines.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderRequestID names the request at the backend server. It is generated
	// where the caller sends none.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun is "true" on an answer to a request that provably did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderHop marks a request that another instance forwarded. It is not forwarded again.
	HeaderHop = "X-Auburnpier-Hop"
	// HeaderQueue and HeaderTeam tell the backend server whose request it runs.
	HeaderQueue = "X-Auburnpier-Queue"
	HeaderTeam  = "X-Auburnpier-Team"

	headerForwardedFor  = "X-Forwarded-For"
	headerForwardedHost = "X-Forwarded-Host"
	headerAuthorization = "Authorization"
	headerConnection    = "Connection"
	headerUserAgent     = "User-Agent"
	headerRetryAfter    = "Retry-After"
	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
	headerTrailer       = "Trailer"
)

// carriesKey reports whether an Authorization value carries a key of this
// system, which backend servers must not see. It accepts at least what the
// key parser accepts: any case of the scheme and any space around the key.
func carriesKey(value string) bool {
	scheme, text, _ := strings.Cut(strings.TrimSpace(value), " ")
	return strings.EqualFold(scheme, "Bearer") && strings.HasPrefix(strings.TrimSpace(text), "ap_")
}

// perHop reports whether a header concerns one connection only.
func perHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", headerTrailer, "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// removeListed drops the headers that the Connection header names.
func removeListed(out, in http.Header) {
	for _, value := range in[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.TrimString(name)
			if name != "" {
				out.Del(name)
			}
		}
	}
}

// forwardHeader returns the headers that are sent on with the request.
func (q *request) forwardHeader() http.Header {
	r := q.r
	out := make(http.Header, len(r.Header)+6)
	for name, values := range r.Header {
		if !perHop(name) && !internalHeader(name) {
			out[name] = values
		}
	}
	removeListed(out, r.Header)
	if _, ok := out[headerUserAgent]; !ok {
		// An explicit empty value keeps net/http from adding its own.
		out[headerUserAgent] = q.value("")
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		out[headerForwardedFor] = q.appended(out[headerForwardedFor], host)
	}
	out[HeaderRequestID] = q.value(q.id)
	return out
}

// internalHeader reports whether only the request plane itself may set the header.
func internalHeader(name string) bool {
	return name == HeaderHop || name == HeaderQueue || name == HeaderTeam || name == HeaderTimeout || name == HeaderNotRun
}

// value returns a header value that shares one allocation with the others of
// the request.
func (q *request) value(v string) []string {
	if q.valuesUsed == len(q.values) {
		return []string{v}
	}
	i := q.valuesUsed
	q.valuesUsed++
	q.values[i] = v
	return q.values[i : i+1 : i+1]
}

// appended returns the values with one more, and leaves the original alone.
func (q *request) appended(values []string, v string) []string {
	if len(values) == 0 {
		return q.value(v)
	}
	return append(values[:len(values):len(values)], v)
}

// toBackend completes headers for a backend server.
func (q *request) toBackend(h http.Header) {
	if slices.ContainsFunc(h[headerAuthorization], carriesKey) {
		delete(h, headerAuthorization)
	}
	h[HeaderQueue] = q.value(string(q.queue))
	if q.caller.Team != "" {
		h[HeaderTeam] = q.value(string(q.caller.Team))
	}
	h[headerForwardedHost] = q.value(q.r.Host)
}

// setTimeout passes the time that is left on.
func (q *request) setTimeout(h http.Header, left time.Duration) {
	ms := max(left.Milliseconds(), 1)
	h[HeaderTimeout] = q.value(strconv.FormatInt(ms, 10))
}

// answerHeader copies the headers of an answer to the caller.
func answerHeader(dst, src http.Header) {
	for name, values := range src {
		if !perHop(name) && !internalHeader(name) {
			dst[name] = values
		}
	}
	if len(src[headerConnection]) > 0 {
		removeListed(dst, src)
	}
}

// idempotent tells whether a request may run twice. The bool ok is false where
// the header has another value than yes or no.
func idempotent(r *http.Request) (may, ok bool) {
	switch r.Header.Get(HeaderIdempotency) {
	case "yes":
		return true, true
	case "no":
		return false, true
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead, true
	}
	return false, false
}

// timeout returns the time that the request may take.
func timeout(r *http.Request, row domain.QueueRow) (limit time.Duration, ok bool) {
	limit = DefaultTimeout
	if row.TimeoutMS > 0 {
		limit = time.Duration(row.TimeoutMS) * time.Millisecond
	}
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return limit, true
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(time.Duration(min(ms, MaxTimeout.Milliseconds()))*time.Millisecond, MaxTimeout), true
}
