package confdoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
)

// MaxBytes bounds the encoded document. It is the store's bound of a value.
const MaxBytes = 1 << 20

// maxDepth bounds the nesting of decoded JSON. The document needs five levels.
const maxDepth = 16

// Encode returns the document as JSON or a *TooLargeError.
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

// Decode reads a document. Unknown fields, repeated names and trailing data
// are a *DecodeError; a document that breaks a rule is an *InvalidError.
func Decode(data []byte) (domain.ConfigDocument, error) {
	var doc domain.ConfigDocument
	if err := decodeStrict("configuration document", data, &doc); err != nil {
		return domain.ConfigDocument{}, err
	}
	fillMaps(&doc)
	if faults := Validate(doc); len(faults) > 0 {
		return domain.ConfigDocument{}, &InvalidError{Faults: faults}
	}
	return doc, nil
}

// DecodeEdit reads an edit as strictly as Decode. The edit is validated when
// it is applied.
func DecodeEdit(data []byte) (Edit, error) {
	var e Edit
	err := decodeStrict("edit", data, &e)
	return e, err
}

func decodeStrict(what string, data []byte, into any) error {
	if len(data) > MaxBytes {
		return &TooLargeError{Bytes: len(data), Max: MaxBytes}
	}
	if err := checkNames(data); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	if _, err := dec.Token(); err != io.EOF {
		return &DecodeError{What: what, Err: errors.New("data follows the value")}
	}
	return nil
}

// checkNames refuses repeated names in an object. encoding/json keeps the last
// one silently, so a table with a team twice would lose a row. It also matches
// field names without regard to case, so names with capitals or other letters
// are refused too.
func checkNames(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var open []map[string]bool // nil for arrays
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
				open = append(open, make(map[string]bool))
			case '[':
				open = append(open, nil)
			default:
				open = open[:len(open)-1]
			}
			if len(open) > maxDepth {
				return fmt.Errorf("more than %d levels", maxDepth)
			}
			expectName = len(open) > 0 && open[len(open)-1] != nil
		case string:
			if !expectName {
				expectName = len(open) > 0 && open[len(open)-1] != nil
				continue
			}
			names := open[len(open)-1]
			if names[t] {
				return fmt.Errorf("name %q is given twice", clip(t))
			}
			if !lowerASCII(t) {
				return fmt.Errorf("name %q has characters other than lower-case ASCII", clip(t))
			}
			names[t] = true
			expectName = false
		default:
			expectName = len(open) > 0 && open[len(open)-1] != nil
		}
	}
}

func lowerASCII(s string) bool {
	for i := range len(s) {
		if b := s[i]; b >= 0x80 || b >= 'A' && b <= 'Z' {
			return false
		}
	}
	return true
}
