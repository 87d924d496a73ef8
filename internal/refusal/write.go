package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderNotRun is the header that is "true" on a response for work that is
// proven not to have run.
const HeaderNotRun = "X-Not-Run"

// Body is the JSON body of an HTTP response that refuses a request.
type Body struct {
	*Refusal
	// Faults lists the invalid fields of a table.
	Faults any `json:"faults,omitempty"`
	// Current is the row that the store holds after a conflict.
	Current any `json:"current,omitempty"`
}

// Write sends a refusal as the response.
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
	e.SetEscapeHTML(false) // remedies contain placeholders such as <id>
	_ = e.Encode(b)
}
