// Package httpjson writes JSON responses, and reads lists of bounded length.
package httpjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// Write sends a response with the given status and the JSON encoding of body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected; nobody is left to report it to.
	_ = json.NewEncoder(w).Encode(body)
}

// DecodeList decodes a JSON array element by element. It fails at the first element beyond the given number, before it takes memory.
func DecodeList[T any](raw []byte, most int) ([]T, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	start, err := d.Token()
	if err != nil || start == nil {
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, fmt.Errorf("%v in place of a list", start)
	}
	var list []T
	for d.More() {
		if len(list) == most {
			return nil, fmt.Errorf("a list of more than %d elements; make it shorter", most)
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	return list, nil
}
