package allot

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxValueBytes is the maximum size of a value in the store.
const maxValueBytes = 1 << 20

// wireDocument is the stored form of a document. Amounts are listed in the order of the
// holders: repeating the names of 8 holders for each of 260 teams would make up
// most of the bytes that every instance reads on every change.
type wireDocument struct {
	Config  uint64              `json:"config"`
	Holders []wireHolder        `json:"holders"`
	Items   map[string]wireItem `json:"items"`
}

type wireHolder struct {
	Name string `json:"name"`
	Holder
}

// wireItem holds amounts by the index of their holder, without trailing zeros.
type wireItem struct {
	Limit  amount   `json:"limit"`
	Owed   amount   `json:"owed,omitzero"`
	Held   []amount `json:"held,omitempty"`
	Demand []amount `json:"demand,omitempty"`
}

// Encode returns the document as JSON.
func Encode(d Document) ([]byte, error) {
	w := wireDocument{Config: d.Config, Items: make(map[string]wireItem, len(d.Items))}
	names := slices.Sorted(maps.Keys(d.Holders))
	for _, name := range names {
		w.Holders = append(w.Holders, wireHolder{Name: name, Holder: d.Holders[name]})
	}
	for name, it := range d.Items {
		w.Items[name] = wireItem{
			Limit: amount(it.Limit), Owed: amount(it.Owed),
			Held: byIndex(it.Held, names), Demand: byIndex(it.Demand, names),
		}
	}
	b, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode the allotments")
	}
	if len(b) > maxValueBytes {
		return nil, errors.Newf("the allotments take %d bytes and the store holds at most %d; delete unused teams", len(b), maxValueBytes)
	}
	return b, nil
}

func byIndex(amounts map[string]Vector, names []string) []amount {
	list := make([]amount, len(names))
	used := 0
	for i, name := range names {
		list[i] = amount(amounts[name])
		if !amounts[name].IsZero() {
			used = i + 1
		}
	}
	return list[:used]
}

// Decode decodes a document and checks its invariant.
func Decode(data []byte) (Document, error) {
	if len(data) > maxValueBytes {
		return Document{}, errors.Newf("the allotments take %d bytes, more than the store holds", len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var w wireDocument
	if err := dec.Decode(&w); err != nil {
		return Document{}, errors.Wrap(err, "decode the allotments")
	}
	d, err := w.document()
	if err != nil {
		return Document{}, err
	}
	return d, d.Validate()
}

func (w wireDocument) document() (Document, error) {
	d := New()
	d.Config = w.Config
	for _, h := range w.Holders {
		d.Holders[h.Name] = h.Holder
	}
	if len(d.Holders) != len(w.Holders) {
		return Document{}, errors.New("the allotments list a holder twice")
	}
	for name, it := range w.Items {
		held, err := w.byName(it.Held)
		if err != nil {
			return Document{}, errors.Wrapf(err, "amounts of %s", name)
		}
		demand, err := w.byName(it.Demand)
		if err != nil {
			return Document{}, errors.Wrapf(err, "demands of %s", name)
		}
		d.Items[name] = Item{Limit: Vector(it.Limit), Owed: Vector(it.Owed), Held: held, Demand: demand}
	}
	return d, nil
}

func (w wireDocument) byName(list []amount) (map[string]Vector, error) {
	if len(list) > len(w.Holders) {
		return nil, errors.Newf("%d amounts for %d holders", len(list), len(w.Holders))
	}
	amounts := make(map[string]Vector, len(list))
	for i, a := range list {
		if v := Vector(a); !v.IsZero() {
			amounts[w.Holders[i].Name] = v
		}
	}
	return amounts, nil
}
