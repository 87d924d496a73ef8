package settings

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `{
  // where this instance stands
  "instance": "entry-1",
  "location": {"region": "lulea", "zone": "lulea-a"},
  "listen": {"api": "127.0.0.1:8080", "peers": "127.0.0.1:8081"},
  "store": {"address": "http://127.0.0.1:7000"},
  "vm_list": {"address": "http://127.0.0.1:7001"},
}`

func TestParseKeepsDefaults(t *testing.T) {
	s, err := Parse("valid.json", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Store.TimeoutMS != Default().Store.TimeoutMS {
		t.Fatalf("store timeout is %d, want the default", s.Store.TimeoutMS)
	}
}

// Guards against an error that lists only the first invalid field, or lacks a path, the given value,
// the allowed values or the remedy.
func TestParseReportsEveryFault(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(string) string
		paths []string
	}{
		{"unknown field", func(s string) string { return strings.Replace(s, `"instance"`, `"instanse": 1, "instance"`, 1) }, []string{"instanse"}},
		{"two wrong types", func(s string) string {
			s = strings.Replace(s, `"entry-1"`, `7`, 1)
			return strings.Replace(s, `"lulea-a"`, `[]`, 1)
		}, []string{"instance", "location.zone"}},
		{"host name for an address", func(s string) string { return strings.Replace(s, "127.0.0.1:8080", "localhost:8080", 1) }, []string{"listen.api"}},
		{"two wrong values", func(s string) string {
			s = strings.Replace(s, `"store": {`, `"store": {"timeout_ms": -1, "adapter": "disk", `, 1)
			return s
		}, []string{"store.adapter", "store.timeout_ms"}},
		{"key without certificate", func(s string) string {
			return strings.Replace(s, `"store"`, `"tls": {"api": {"key_file": "k.pem"}}, "store"`, 1)
		}, []string{"tls.api"}},
		{"not JSON", func(s string) string { return s + "}" }, []string{"(file)"}},
		{"null section", func(s string) string {
			return strings.Replace(s, `{"region": "lulea", "zone": "lulea-a"}`, `null`, 1)
		}, []string{"location"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.json", []byte(c.edit(validSettings)))
			var faults *FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("error is %v, want a *FaultsError", err)
			}
			if len(faults.Faults) != len(c.paths) {
				t.Fatalf("faults are %v, want paths %v", faults.Faults, c.paths)
			}
			for i, f := range faults.Faults {
				if f.Path != c.paths[i] || f.Remedy == "" || f.Allowed == "" || f.Given == "" {
					t.Fatalf("fault %d is %+v, want path %s with all parts", i, f, c.paths[i])
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("fuzz.json", raw)
		if err == nil && len(s.validate()) > 0 {
			t.Fatal("Parse accepted settings that don't validate")
		}
	})
}

// Guards against example settings files that the program doesn't accept.
func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"norrstrom.jsonc", "velo-atelier.jsonc"} {
		if _, err := Load("../../examples/" + file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
