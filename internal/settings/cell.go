package settings

import (
	"fmt"

	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
)

// Cell is the settings file of an instance that runs on the users' platform.
type Cell struct {
	Instance domain.InstanceID `json:"instance"`
	Region   domain.RegionID   `json:"region"`
	Zone     domain.ZoneID     `json:"zone"`
	Listen   CellListen        `json:"listen"`
	Platform CellPlatform      `json:"platform"`
	Bounds   CellBounds        `json:"bounds"`
	Limits   CellLimits        `json:"limits"`
	// Scheduling switches on parts of the scheduler. Without the section all are off.
	Scheduling CellScheduling `json:"scheduling,omitzero"`
	Log        Log            `json:"log"`
}

// CellListen holds the addresses that an instance listens on, each an IP address and a port.
type CellListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// CellPlatform holds the addresses of the platform's services.
type CellPlatform struct {
	Store string `json:"store"`
	// Approvals is the address of the approval service. It is empty if no queue needs approvals.
	Approvals string `json:"approvals"`
	// VMs is the address of the service that lists VMs and carries out their maintenance. It may be
	// empty.
	VMs string `json:"vms"`
	// Duties lists what the platform delegates to the cell besides jobs. If it isn't empty and VMs is
	// set, the cell carries out maintenance waves.
	Duties []string `json:"duties"`
}

// CellBounds holds the time limits and factors of the platform, from which the cell derives its own.
type CellBounds struct {
	// RevokeMS is the time after which a revoked key must no longer be accepted.
	RevokeMS int64 `json:"revoke_ms"`
	// EvacuateMS is the time after which no task may start in an evacuated zone. Zero means that zones
	// are not evacuated.
	EvacuateMS int64 `json:"evacuate_ms"`
	// MaxLeaseMS is the longest lease that a worker grants.
	MaxLeaseMS int64 `json:"max_lease_ms"`
	// GraceMS is the time between a stop request and the kill.
	GraceMS int64 `json:"grace_ms"`
	// GangWaitMS is how long a gang member waits for the others.
	GangWaitMS int64 `json:"gang_wait_ms"`
	// MaxStopMS is the maximum time in which a worker stops a task.
	MaxStopMS int64 `json:"stop_ms"`
	// RetentionMS is how long the state of a job can be queried after its end.
	RetentionMS int64 `json:"retention_ms"`
	// OffRackFactor is the factor by which a task runs longer outside the rack that holds its data.
	OffRackFactor float64 `json:"far_factor"`
	// LimitOvershoot is the fraction of a team's limit by which the limit may be exceeded.
	LimitOvershoot float64 `json:"limit_overshoot"`
	// MinLeaseMS is the shortest lease that the store grants.
	MinLeaseMS int64 `json:"min_lease_ms"`
	// HolderLeaseMS is the minimum time between orders of two different owners to one VM.
	HolderLeaseMS int64 `json:"holder_lease_ms"`
}

// CellLimits holds the resource limits of the instance's VM.
type CellLimits struct {
	MemoryMB int64 `json:"memory_mb"`
	// CPUShare is the CPU time available to the VM, in cores.
	CPUShare float64 `json:"cpu_share"`
	// MaxFDs is the number of descriptors that the process may open.
	MaxFDs int64 `json:"max_fds,omitzero"`
}

// CellScheduling switches on parts of the scheduler, which docs/design/hard-load.md and shares-departures.md describe.
type CellScheduling struct {
	// ApprovalPlanning plans requests to the approval service by what they cost of its time.
	ApprovalPlanning bool `json:"approval_planning"`
	// LearnedDurations corrects callers' estimates by the durations of earlier tasks.
	LearnedDurations bool `json:"learned_durations"`
	// WorkerSpeeds places tasks by the observed speeds of workers.
	WorkerSpeeds bool `json:"worker_speeds"`
	// SeparateInterference keeps tasks apart that slow each other down.
	SeparateInterference bool `json:"separate_interference"`
	// EarlyDeparture stops runs on workers that are about to end if they would be lost, so that they start elsewhere in time.
	EarlyDeparture bool `json:"early_departure"`
	// DetectSlowdowns places less work on workers that have become slow, and moves runs from them.
	DetectSlowdowns bool `json:"detect_slowdowns"`
	// FairShares lets the work of teams above their share wait while capacity is short.
	FairShares bool `json:"fair_shares"`
}

// DefaultCell returns the default values of optional settings.
func DefaultCell() Cell {
	return Cell{
		Bounds: CellBounds{RevokeMS: 5000, MaxLeaseMS: 10_000, GraceMS: 6000, GangWaitMS: 3000, MaxStopMS: 900,
			RetentionMS: 120_000, OffRackFactor: 2, MinLeaseMS: 1000, HolderLeaseMS: 3000},
		Limits: CellLimits{MemoryMB: 284, CPUShare: 0.4, MaxFDs: 3075},
		Log:    Log{Level: "info"},
	}
}

// LoadCell reads and validates the settings file of an instance on the users' platform. A
// *FaultsError lists all invalid settings.
func LoadCell(file string) (Cell, error) {
	return load(file, DefaultCell(), (*Cell).validate)
}

// ParseCell parses and validates the content of such a file.
func ParseCell(file string, raw []byte) (Cell, error) {
	return parse(file, raw, DefaultCell(), (*Cell).validate)
}

func (s *Cell) validate() fault.List {
	v := &validator{}
	v.name("instance", string(s.Instance))
	v.name("region", string(s.Region))
	v.name("zone", string(s.Zone))
	v.address("listen.callers", s.Listen.Callers)
	v.address("listen.ready", s.Listen.Ready)
	v.address("listen.peers", s.Listen.Peers)
	v.address("listen.metrics", s.Listen.Metrics)
	v.address("platform.store", s.Platform.Store)
	if s.Platform.Approvals != "" {
		v.address("platform.approvals", s.Platform.Approvals)
	}
	if s.Platform.VMs != "" {
		v.address("platform.vms", s.Platform.VMs)
	}
	v.between("bounds.holder_lease_ms", s.Bounds.HolderLeaseMS, 0, 600_000)
	v.between("bounds.revoke_ms", s.Bounds.RevokeMS, 2_000, 600_000)
	if s.Bounds.EvacuateMS != 0 {
		v.between("bounds.evacuate_ms", s.Bounds.EvacuateMS, 3_000, 600_000)
	}
	v.between("bounds.max_lease_ms", s.Bounds.MaxLeaseMS, 2_000, 600_000)
	v.between("bounds.grace_ms", s.Bounds.GraceMS, 1_000, 600_000)
	v.between("bounds.gang_wait_ms", s.Bounds.GangWaitMS, 500, 600_000)
	v.between("bounds.stop_ms", s.Bounds.MaxStopMS, 1, 60_000)
	v.between("bounds.retention_ms", s.Bounds.RetentionMS, 1_000, 86_400_000)
	v.between("bounds.min_lease_ms", s.Bounds.MinLeaseMS, 100, 60_000)
	v.between("limits.memory_mb", s.Limits.MemoryMB, 32, 1<<20)
	v.between("limits.max_fds", s.Limits.MaxFDs, 512, 1<<20)
	if !(s.Bounds.OffRackFactor >= 1 && s.Bounds.OffRackFactor <= 1000) {
		v.add("bounds.far_factor", fmt.Sprint(s.Bounds.OffRackFactor), "1 to 1000", "set a value in that range")
	}
	if !(s.Bounds.LimitOvershoot >= 0 && s.Bounds.LimitOvershoot <= 1) {
		v.add("bounds.limit_overshoot", fmt.Sprint(s.Bounds.LimitOvershoot), "0 to 1", "set a value in that range")
	}
	if !(s.Limits.CPUShare > 0 && s.Limits.CPUShare <= 1024) {
		v.add("limits.cpu_share", fmt.Sprint(s.Limits.CPUShare), "above 0, in cores", "set the VM's part of a core")
	}
	v.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return v.faults
}
