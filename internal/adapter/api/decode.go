// Package api serves callers and operators over HTTP with JSON bodies. Every
// refusal has the same form: reason, message, remedy, and not_run where the
// work provably did not run.
package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/fault"
	"auburnpier/internal/intake"
	"auburnpier/internal/refusal"
)

// maxJSONBytes bounds a JSON body. The largest one is a table import.
const maxJSONBytes = 1 << 20

// jsonFactor is what a JSON body takes until its request is answered, as a multiple of its size. A list of empty texts
// decodes to 6 times its size.
const jsonFactor = 8

// decode reads one JSON value of type T. Unknown fields and trailing text are refused. The caller calls release, which is
// never nil, when the request is answered.
func decode[T any](s *Server, w http.ResponseWriter, r *http.Request) (v T, release func(), err error) {
	release = func() {}
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return v, release, refusal.New(http.StatusUnsupportedMediaType, refusal.UnsupportedMediaType,
			fmt.Sprintf("the content type is %q", r.Header.Get("Content-Type")),
			"send the header Content-Type: application/json")
	}
	raw, release, err := s.o.Bodies.Read(w, r, intake.Limits{MaxBytes: maxJSONBytes, Factor: jsonFactor, Timeout: s.o.ReadTimeout})
	if err != nil {
		return v, release, bodyRefusal(err)
	}
	s.o.Bodies.Decode(func() { err = decodeValue(raw, &v) })
	return v, release, err
}

func decodeValue(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return bodyRefusal(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			"there is text after the JSON value", "send one JSON value only")
	}
	return nil
}

func bodyRefusal(err error) *refusal.Refusal {
	if ref := intake.Refusal(err); ref != nil {
		return ref
	}
	var tooLarge *intake.TooLargeError
	if errors.As(err, &tooLarge) {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit), "send a smaller body")
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			fmt.Sprintf("field %q: given a %s, allowed a %s", wrongType.Field, wrongType.Value, wrongType.Type),
			"write a value of that type")
	}
	return refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
		"the body is not the JSON that is expected: "+err.Error(), "correct the body")
}

// invalid returns the refusal of a request with wrong fields.
func invalid(faults fault.List) *refusal.Refusal {
	return refusal.New(http.StatusBadRequest, refusal.InvalidRequest, faults.String(), "correct the named fields")
}

// refuse counts and writes a refusal.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.refuseWith(w, refusal.Body{Refusal: refusal.FromError(err)})
}

func (s *Server) refuseWith(w http.ResponseWriter, body refusal.Body) {
	s.o.Metrics.CountRefusal(body.Reason)
	refusal.Write(w, body)
}
