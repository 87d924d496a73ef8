package allot

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// amount is the stored form of a vector: a number if only the first
// component is set, else an array without trailing zeros.
type amount Vector

// MarshalJSON implements json.Marshaler.
func (a amount) MarshalJSON() ([]byte, error) {
	used := components
	for used > 1 && a[used-1] == 0 {
		used--
	}
	if used == 1 {
		return strconv.AppendInt(nil, a[0], 10), nil
	}
	b := []byte{'['}
	for i, n := range a[:used] {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return append(b, ']'), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *amount) UnmarshalJSON(data []byte) error {
	text := string(data)
	if inner, ok := strings.CutPrefix(text, "["); ok {
		text, _ = strings.CutSuffix(inner, "]")
	}
	*a = amount{}
	parts := strings.Split(text, ",")
	if len(parts) > components {
		return errors.Newf("an amount has %d components, at most %d", len(parts), components)
	}
	for i, part := range parts {
		n, err := strconv.ParseInt(strings.TrimSpace(part), 10, 64)
		if err != nil {
			return errors.Wrap(err, "an amount is not an integer")
		}
		a[i] = n
	}
	return nil
}
