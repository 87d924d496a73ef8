package allot

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxBytes is the store's bound of a value.
const maxBytes = 1 << 20

// Encode returns the document as JSON.
func Encode(d Document) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode the allotments")
	}
	if len(b) > maxBytes {
		return nil, errors.Newf("the allotments take %d bytes and the store holds at most %d; delete unused teams", len(b), maxBytes)
	}
	return b, nil
}

// Decode reads a document and checks its invariant.
func Decode(data []byte) (Document, error) {
	if len(data) > maxBytes {
		return Document{}, errors.Newf("the allotments take %d bytes, more than the store holds", len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return Document{}, errors.Wrap(err, "the allotments can't be read")
	}
	d = d.Clone()
	return d, d.Check()
}
