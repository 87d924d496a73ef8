package settings

import "auburnpier/internal/core/jobs"

// ParseJob checks a job in JSON with comments, as job files and the cell's own
// interface have them. A *FaultsError lists all faults.
func ParseJob(file string, raw []byte) (jobs.Spec, error) {
	return parse(file, raw, jobs.Spec{}, (*jobs.Spec).Validate)
}
