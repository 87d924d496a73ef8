package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderNotRun is "true" on an answer to work that provably did not run.
const HeaderNotRun = "X-Not-Run"

// Body is the JSON form of a refusal in an HTTP answer.
type Body struct {
	*Refusal
	// Faults lists the wrong fields of a table.
	Faults any `json:"faults,omitempty"`
	// Current describes the row found in a conflict.
	Current any `json:"current,omitempty"`
}

// Write answers with a refusal.
func Write(w http.ResponseWriter, b Body) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if b.NotRun {
		h.Set(HeaderNotRun, "true")
	}
	if b.RetryAfter > 0 {
		seconds := (b.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(b.Status)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false) // remedies name placeholders such as <id>
	_ = e.Encode(b)
}
