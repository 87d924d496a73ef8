package domain

import (
	"fmt"
	"regexp"
	"slices"

	"auburnpier/internal/fault"
)

// Limits of a job specification. They keep a mistaken submission from using up
// the memory and journal space that all teams share.
const (
	MaxTasksPerJob     = 10_000
	MaxCommandArgs     = 64
	MaxCommandBytes    = 8 << 10
	MaxAttemptsPerTask = 20
	MaxZonesPerJob     = 16
	// MaxRunTimeMS is one year.
	MaxRunTimeMS = 365 * 24 * 3600 * 1000
	// MaxTaskCPUMilli and MaxTaskMemoryMB exceed the size of any existing worker.
	MaxTaskCPUMilli     = 4_096_000
	MaxTaskMemoryMB     = 64_000_000
	MaxTaskAccelerators = 1024
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

const nameFormat = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"

// Normalize sets the defaults of optional fields.
func (s *JobSpec) Normalize() {
	if s.Priority == "" {
		s.Priority = PriorityNormal
	}
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	if s.Kind == JobService {
		// Replicas are restarted whenever they end.
		s.Idempotent = true
	}
}

// Validate returns an error for every invalid field of a normalized specification.
func (s JobSpec) Validate() fault.List {
	var l fault.List
	checkName(&l, "name", s.Name, true)
	checkName(&l, "class", s.Class, false)
	checkName(&l, "idempotency_key", s.IdempotencyKey, false)
	checkName(&l, "region", string(s.Region), false)
	checkOneOf(&l, "kind", s.Kind, JobBatch, JobService, JobGang)
	checkOneOf(&l, "priority", s.Priority, PriorityUrgent, PriorityNormal, PriorityLow)
	l.CheckRange("tasks", int64(s.Tasks), 1, MaxTasksPerJob)
	l.CheckRange("resources.cpu_milli", s.Resources.CPUMilli, 1, MaxTaskCPUMilli)
	l.CheckRange("resources.memory_mb", s.Resources.MemoryMB, 1, MaxTaskMemoryMB)
	l.CheckRange("resources.accelerators", s.Resources.Accelerators, 0, MaxTaskAccelerators)
	l.CheckRange("run_time_ms", s.RunTimeMS, 0, MaxRunTimeMS)
	l.CheckRange("max_attempts", int64(s.MaxAttempts), 0, MaxAttemptsPerTask)
	l.CheckRange("zones (count)", int64(len(s.Zones)), 0, MaxZonesPerJob)
	for i, z := range s.Zones {
		checkName(&l, fmt.Sprintf("zones[%d]", i), string(z), true)
	}
	s.checkCommand(&l)
	return l
}

func (s JobSpec) checkCommand(l *fault.List) {
	l.CheckRange("command (words)", int64(len(s.Command)), 0, MaxCommandArgs)
	size := 0
	for _, arg := range s.Command {
		size += len(arg)
	}
	l.CheckRange("command (bytes)", int64(size), 0, MaxCommandBytes)
}

func checkName(l *fault.List, path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if !namePattern.MatchString(value) {
		l.Add(path, fmt.Sprintf("%.80q", value), nameFormat, "set a name of that form")
	}
}

func checkOneOf[T ~string](l *fault.List, path string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		l.Add(path, fmt.Sprintf("%.80q", string(value)), fmt.Sprintf("one of %q", allowed), "choose one of them")
	}
}
