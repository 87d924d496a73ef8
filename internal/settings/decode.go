package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"auburnpier/internal/fault"
)

// maxFileBytes is the maximum size of a settings or job file.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file. A *FaultsError lists all invalid settings.
func Load(file string) (Settings, error) {
	return load(file, Default(), (*Settings).validate)
}

// Parse parses and validates the content of a settings file.
func Parse(file string, raw []byte) (Settings, error) {
	return parse(file, raw, Default(), (*Settings).validate)
}

func load[T any](file string, defaults T, validate func(*T) fault.List) (T, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return defaults, errors.Wrap(err, "read settings; name an existing file with --settings")
	}
	return parse(file, raw, defaults, validate)
}

func parse[T any](file string, raw []byte, s T, validate func(*T) fault.List) (T, error) {
	var zero T
	if len(raw) > maxFileBytes {
		return zero, &FaultsError{File: file, Faults: fault.List{{
			Path: "(file)", Given: fmt.Sprintf("%d bytes", len(raw)),
			Allowed: fmt.Sprintf("at most %d bytes", maxFileBytes), Remedy: "make the file shorter",
		}}}
	}
	standardJSON, err := hujson.Standardize(raw)
	if err != nil {
		return zero, &FaultsError{File: file, Faults: fault.List{{
			Path: "(file)", Given: "text that is not JSON with comments", Allowed: "JSON with comments",
			Remedy: "mend the syntax: " + err.Error(),
		}}}
	}
	d := &decoder{}
	d.value("", standardJSON, reflect.ValueOf(&s).Elem())
	if len(d.faults) == 0 {
		d.faults = validate(&s)
	}
	if len(d.faults) > 0 {
		return zero, &FaultsError{File: file, Faults: d.faults}
	}
	return s, nil
}

// decoder decodes JSON into structs field by field and collects the errors, so that one invalid
// field doesn't hide the next.
type decoder struct {
	faults fault.List
}

func (d *decoder) value(path string, raw json.RawMessage, target reflect.Value) {
	if target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct {
		d.objectList(path, raw, target)
		return
	}
	if target.Kind() != reflect.Struct {
		d.leaf(path, raw, target)
		return
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		d.add(path, raw, "an object", "write { ... } here")
		return
	}
	known := fieldsByName(target)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		field, ok := known[name]
		if !ok {
			d.add(joinPath(path, name), fields[name], "one of "+strings.Join(slices.Sorted(maps.Keys(known)), ", "),
				"remove the field or correct its name")
			continue
		}
		d.value(joinPath(path, name), fields[name], field)
	}
}

// objectList decodes an array of objects. The path of each object ends in its index.
// maxListEntries bounds a list of objects. An empty one takes three bytes of text, and hundreds once decoded.
const maxListEntries = 4096

func (d *decoder) objectList(path string, raw json.RawMessage, target reflect.Value) {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		d.add(path, raw, "a list of objects", "write [ { ... } ] here")
		return
	}
	if len(entries) > maxListEntries {
		d.faults.Add(path, fmt.Sprintf("%d entries", len(entries)), fmt.Sprintf("at most %d", maxListEntries), "make the list shorter")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(entries), len(entries)))
	for i, entry := range entries {
		d.value(fmt.Sprintf("%s[%d]", path, i), entry, target.Index(i))
	}
}

func (d *decoder) leaf(path string, raw json.RawMessage, target reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(target.Addr().Interface()); err != nil {
		d.add(path, raw, typeDescription(target.Type()), "write a value of that type")
	}
}

func (d *decoder) add(path string, raw json.RawMessage, allowed, remedy string) {
	if path == "" {
		path = "(file)"
	}
	d.faults.Add(path, truncate(raw), allowed, remedy)
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int64, reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each entry " + typeDescription(t.Elem())
	default:
		return "a value of type " + t.String()
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxQuotedBytes limits how much of an invalid value an error message quotes.
const maxQuotedBytes = 80

func truncate(raw json.RawMessage) string {
	s := strings.TrimSpace(string(raw))
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}
