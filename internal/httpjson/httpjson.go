// Package httpjson writes JSON responses.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write sends a response with the given status and the JSON encoding of body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected; nobody is left to report it to.
	_ = json.NewEncoder(w).Encode(body)
}
