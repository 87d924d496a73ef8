package confdoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
)

// MaxBytes is the maximum size of the encoded document, which is the store's limit for a value.
const MaxBytes = 1 << 20

// maxDepth is the maximum nesting of decoded JSON. The document needs five levels.
const maxDepth = 16

// Encode returns the document as JSON. It returns a *TooLargeError if that exceeds MaxBytes.
func Encode(doc domain.ConfigDocument) ([]byte, error) {
	b, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration document")
	}
	if len(b) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(b), Max: MaxBytes}
	}
	return b, nil
}

// Decode parses and validates a document. It returns a *DecodeError for malformed JSON, unknown
// fields, duplicate names and trailing data, and an *InvalidError for invalid values.
func Decode(data []byte) (domain.ConfigDocument, error) {
	var doc domain.ConfigDocument
	if err := decodeStrict("configuration document", data, &doc); err != nil {
		return domain.ConfigDocument{}, err
	}
	initMaps(&doc)
	if faults := Validate(doc); len(faults) > 0 {
		return domain.ConfigDocument{}, &InvalidError{Faults: faults}
	}
	return doc, nil
}

// DecodeEdit parses an edit as strictly as Decode. Apply validates the edit.
func DecodeEdit(data []byte) (Edit, error) {
	var e Edit
	err := decodeStrict("edit", data, &e)
	return e, err
}

func decodeStrict(subject string, data []byte, into any) error {
	if len(data) > MaxBytes {
		return &TooLargeError{Bytes: len(data), Max: MaxBytes}
	}
	if err := checkObjectNames(data); err != nil {
		return &DecodeError{What: subject, Err: err}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return &DecodeError{What: subject, Err: err}
	}
	if _, err := dec.Token(); err != io.EOF {
		return &DecodeError{What: subject, Err: errors.New("data follows the value")}
	}
	return nil
}

// checkObjectNames rejects duplicate names in an object: encoding/json silently keeps the last one,
// so a table that lists a team twice would lose a row. It also rejects names with upper-case or
// non-ASCII letters, because encoding/json matches field names case-insensitively and they could be
// duplicates.
func checkObjectNames(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var openNames []map[string]bool // names seen in each open object; nil for an array
	expectName := false
	for {
		tok, err := dec.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		switch t := tok.(type) {
		case json.Delim:
			switch t {
			case '{':
				openNames = append(openNames, make(map[string]bool))
			case '[':
				openNames = append(openNames, nil)
			default:
				openNames = openNames[:len(openNames)-1]
			}
			if len(openNames) > maxDepth {
				return fmt.Errorf("more than %d levels", maxDepth)
			}
			expectName = len(openNames) > 0 && openNames[len(openNames)-1] != nil
		case string:
			if !expectName {
				expectName = len(openNames) > 0 && openNames[len(openNames)-1] != nil
				continue
			}
			names := openNames[len(openNames)-1]
			if names[t] {
				return fmt.Errorf("name %q is given twice", truncateName(t))
			}
			if !hasOnlyLowerASCII(t) {
				return fmt.Errorf("name %q has characters other than lower-case ASCII", truncateName(t))
			}
			names[t] = true
			expectName = false
		default:
			expectName = len(openNames) > 0 && openNames[len(openNames)-1] != nil
		}
	}
}

func hasOnlyLowerASCII(s string) bool {
	for i := range len(s) {
		if b := s[i]; b >= 0x80 || b >= 'A' && b <= 'Z' {
			return false
		}
	}
	return true
}
