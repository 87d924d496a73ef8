// Package httpjson writes JSON requests and responses, and reads lists of bounded length.
package httpjson

import (
	"bytes"
	"context"
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

// NewPost returns a request with the JSON encoding of body. The transport cannot resend it, since it may have taken effect.
func NewPost(ctx context.Context, url string, body any) (*http.Request, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody, the transport sends the body at most once.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
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
