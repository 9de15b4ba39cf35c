package model

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// Settings are the settings of a daemon on the platform.
type Settings struct {
	VMID       string
	DataCentre string
	// IP is the address of the VM.
	IP string
	// PeerPort is the port on which every daemon serves the other daemons.
	PeerPort int
	// SeedIPs are addresses of VMs that may be stale or down.
	SeedIPs []string
	// CallerAddress, ReadinessAddress and MetricsAddress are listen addresses.
	CallerAddress    string
	ReadinessAddress string
	MetricsAddress   string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// StoreWrites is the number of writes per second that the store accepts from all VMs
	// together; 0 if the platform specifies none.
	StoreWrites float64
	Bounds      Bounds
	// Cores is the CPU share of the VM in cores.
	Cores float64
	// MaxSockets bounds the sockets and pipes of the process; 0 for no bound.
	MaxSockets int
	// MemoryBytes is the memory of the VM; 0 for no bound.
	MemoryBytes int64
	// Disabled are the mechanisms that are switched off for an experiment.
	Disabled policy.Disabled
}

// Bounds are the time limits that the platform specifies.
type Bounds struct {
	// MaxLease is the longest lease of a run on a worker.
	MaxLease time.Duration
	// GangTimeout is how long a gang member waits for the others.
	GangTimeout time.Duration
	// ConfigApplyTime is the longest time until an accepted configuration must
	// be in force.
	ConfigApplyTime time.Duration
	// RollbackSlack is how much later than another a call may be sent to a VM and still be
	// handled by an older configuration than that one.
	RollbackSlack time.Duration
	// StopGrace is the time between a planned stop and a kill.
	StopGrace time.Duration
	// StableWindow and one HeartbeatInterval are the time from which a worker's smaller
	// capacity counts; a StableWindow of 0 is no limit. HeartbeatInterval is the interval
	// at which workers register.
	StableWindow, HeartbeatInterval time.Duration
	// EvacuationTime is the longest time from the acknowledgement of an evacuation until the
	// last start in the data centre; 0 if data centres are not evacuated.
	EvacuationTime time.Duration
	// StatusRetention is the least time for which the state of a job in a
	// terminal state stays available; 0 for no limit.
	StatusRetention time.Duration
	// RemoteFactor is how many times as long a task takes away from its data, or a gang on
	// several racks that asks for one; 0 if it is not given.
	RemoteFactor float64
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
	// MaxValueBytes is the largest value that the platform's store accepts, in bytes; 0 for
	// no limit.
	MaxValueBytes int
}
