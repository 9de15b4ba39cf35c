package model

import "time"

// Settings are the settings of a daemon on the platform.
type Settings struct {
	VMID       string
	DataCentre string
	// IP is the address of the VM.
	IP string
	// PeerPort is the port on which all daemons serve each other.
	PeerPort int
	// SeedIPs are addresses of VMs that may be stale or down.
	SeedIPs []string
	// CallerAddress, Readiness and Metrics are listen addresses.
	CallerAddress    string
	ReadinessAddress string
	MetricsAddress   string
	// StoreAddress is the platform's store.
	StoreAddress string
	Bounds       Bounds
	// Cores is the processor share of the VM in cores.
	Cores float64
	// Descriptors bounds the file descriptors of the process; 0 for no bound.
	Descriptors int
}

// Bounds are the times that the platform states.
type Bounds struct {
	// MaxLease is the longest lease of a run on a worker.
	MaxLease time.Duration
	// GangTimeout is how long a member waits for the others.
	GangTimeout time.Duration
	// ConfigApplyTime is how soon an accepted configuration must be in force.
	ConfigApplyTime time.Duration
	// StopGrace is the time between a planned stop and a kill.
	StopGrace time.Duration
	// StatusRetention is how long the state of an ended job is told at least; 0 keeps
	// it for good.
	StatusRetention time.Duration
}
