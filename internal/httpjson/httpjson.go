// Package httpjson writes JSON answers.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write answers with a status and a body that can be encoded as JSON.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left has no use for the answer.
	_ = json.NewEncoder(w).Encode(body)
}
