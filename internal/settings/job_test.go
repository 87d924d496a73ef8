package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// Guards against invalid job files that are accepted, and against errors that don't name the field,
// its step and the remedy.
func TestParseJobReportsFaults(t *testing.T) {
	for name, c := range map[string]struct{ text, path string }{
		"no steps":         {`{"payload": "x"}`, "steps (count)"},
		"unknown field":    {`{"steps": [{"tasks": 1, "needs": {}}]}`, "steps[0].needs"},
		"wrong type":       {`{"steps": [{"tasks": 1}, {"tasks": "two"}]}`, "steps[1].tasks"},
		"too large":        {`{"steps": [{"tasks": 1, "need": {"cpu_milli": 1e30}}]}`, "steps[0].need.cpu_milli"},
		"negative":         {`{"steps": [{"tasks": 1, "need": {"memory_mb": -1}}]}`, "steps[0].need.memory_mb"},
		"unknown amount":   {`{"steps": [{"tasks": 1, "need": {"memory": 1}}]}`, "steps[0].need.memory"},
		"after itself":     {`{"steps": [{"tasks": 1}, {"tasks": 1, "after": [1]}]}`, "steps[1].after"},
		"steps no list":    {`{"steps": {}}`, "steps"},
		"not JSON":         {`{"steps": [`, "(file)"},
		"never due":        {`{"steps": [{"tasks": 1}], "occurrences": 2, "first_unix_ms": -5}`, "first_unix_ms"},
		"two at once":      {`{"steps": [{"tasks": 0}], "occurrences": -1}`, "occurrences"},
		"two at once, too": {`{"steps": [{"tasks": 0}], "occurrences": -1}`, "steps[0].tasks"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseJob("job.jsonc", []byte(c.text))
			var faults *FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("ParseJob returned %v, want a *FaultsError", err)
			}
			for _, f := range faults.Faults {
				if f.Path == c.path && f.Remedy != "" {
					return
				}
			}
			t.Errorf("no error for the field %s: %v", c.path, err)
		})
	}
}

// Guards against example job files that the program doesn't accept.
func TestExampleJobsAreValid(t *testing.T) {
	for _, file := range []string{"job-tally.jsonc", "job-recurring.jsonc"} {
		raw, err := os.ReadFile("../../examples/" + file)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := ParseJob(file, raw)
		if err != nil {
			t.Fatal(err)
		}
		if recurring := strings.Contains(file, "recurring"); spec.Recurring() != recurring || len(spec.Steps) == 0 {
			t.Errorf("%s was parsed as %+v", file, spec)
		}
	}
}
