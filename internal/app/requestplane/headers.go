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
	// HeaderIdempotency is "yes" or "no". The default is yes for GET and HEAD, else no.
	HeaderIdempotency = "Idempotency"
	// HeaderTimeout is the time left for the request in milliseconds. It is a duration
	// rather than a point in time, so that clocks of machines need not agree.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderRequestID identifies the request at the backend server. It is generated
	// if the caller sends none.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun is "true" on a response to a request that provably did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderHop marks a request that another instance forwarded. It is not forwarded again.
	HeaderHop = "X-Auburnpier-Hop"
	// HeaderQueue and HeaderTeam carry the request's queue and team to the backend server.
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

// containsAPIKey reports whether an Authorization value contains an API key of this
// system, which backend servers must not see. It matches at least what the
// key parser accepts: any case of the scheme and any space around the key.
func containsAPIKey(value string) bool {
	scheme, text, _ := strings.Cut(strings.TrimSpace(value), " ")
	return strings.EqualFold(scheme, "Bearer") && strings.HasPrefix(strings.TrimSpace(text), "ap_")
}

// isHopByHop reports whether a header applies to one connection only.
func isHopByHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", headerTrailer, "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// removeConnectionHeaders deletes the headers that the Connection header lists.
func removeConnectionHeaders(out, in http.Header) {
	for _, value := range in[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.TrimString(name)
			if name != "" {
				out.Del(name)
			}
		}
	}
}

// forwardHeader returns the headers to send with the forwarded request.
func (q *request) forwardHeader() http.Header {
	r := q.r
	out := make(http.Header, len(r.Header)+6)
	for name, values := range r.Header {
		if !isHopByHop(name) && !isInternalHeader(name) {
			out[name] = values
		}
	}
	removeConnectionHeaders(out, r.Header)
	if _, ok := out[headerUserAgent]; !ok {
		// An explicit empty value prevents net/http from adding its own.
		out[headerUserAgent] = q.headerValue("")
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		out[headerForwardedFor] = q.appendValue(out[headerForwardedFor], host)
	}
	out[HeaderRequestID] = q.headerValue(q.id)
	return out
}

// isInternalHeader reports whether only the request plane itself may set the header.
func isInternalHeader(name string) bool {
	return name == HeaderHop || name == HeaderQueue || name == HeaderTeam || name == HeaderTimeout || name == HeaderNotRun
}

// headerValue returns v as a header headerValue that shares one allocation with the other
// values set for the request.
func (q *request) headerValue(v string) []string {
	if q.valuesUsed == len(q.values) {
		return []string{v}
	}
	i := q.valuesUsed
	q.valuesUsed++
	q.values[i] = v
	return q.values[i : i+1 : i+1]
}

// appendValue returns the values followed by v. It does not modify the original slice.
func (q *request) appendValue(values []string, v string) []string {
	if len(values) == 0 {
		return q.headerValue(v)
	}
	return append(values[:len(values):len(values)], v)
}

// setBackendHeaders completes the headers of a request to a backend server.
func (q *request) setBackendHeaders(h http.Header) {
	if slices.ContainsFunc(h[headerAuthorization], containsAPIKey) {
		delete(h, headerAuthorization)
	}
	h[HeaderQueue] = q.headerValue(string(q.queue))
	if q.caller.Team != "" {
		h[HeaderTeam] = q.headerValue(string(q.caller.Team))
	}
	h[headerForwardedHost] = q.headerValue(q.r.Host)
}

// setTimeoutHeader sets the time left for the request.
func (q *request) setTimeoutHeader(h http.Header, left time.Duration) {
	ms := max(left.Milliseconds(), 1)
	h[HeaderTimeout] = q.headerValue(strconv.FormatInt(ms, 10))
}

// copyResponseHeader copies the headers of a response that are passed on to the caller.
func copyResponseHeader(dst, src http.Header) {
	for name, values := range src {
		if !isHopByHop(name) && !isInternalHeader(name) {
			dst[name] = values
		}
	}
	if len(src[headerConnection]) > 0 {
		removeConnectionHeaders(dst, src)
	}
}

// parseIdempotent returns whether a request may run twice. ok is false if the
// header has a value other than yes or no.
func parseIdempotent(r *http.Request) (may, ok bool) {
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

// requestTimeout returns the time that the request may take. ok is false if the
// header is not a positive number.
func requestTimeout(r *http.Request, row domain.QueueRow) (limit time.Duration, ok bool) {
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
