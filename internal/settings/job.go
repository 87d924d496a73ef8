package settings

import "auburnpier/internal/core/jobs"

// ParseJob parses and validates a job in JSON with comments, the format of job files and of the
// cell's own API. A *FaultsError lists all invalid fields.
func ParseJob(file string, raw []byte) (jobs.Spec, error) {
	return parse(file, raw, jobs.Spec{}, (*jobs.Spec).Validate)
}
