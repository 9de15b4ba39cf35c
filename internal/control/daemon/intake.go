package daemon

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/intake"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
)

const (
	// clientFiles is the share of the process's descriptors that callers, operators and
	// peers may use; the rest is for connections to targets, the store and peers.
	clientFiles = 0.75

	// The shares of the listeners. A member that leaves transfers its claims and records
	// in one call of up to 64 MiB, which fits in the peers' share of the default memory.
	callerShare   = 0.5
	operatorShare = 0.1
	peerShare     = 0.4
)

// serve serves the listeners for callers, operators and peers, in this order, within the
// memory and descriptors of the process.
func (d *Daemon) serve(listeners []net.Listener, failed chan<- error) {
	b := &intake.Budget{Memory: d.settings.Limits.Memory, Log: d.log, Meter: d.meter}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		b.Descriptors = int(min(float64(files.Cur)*clientFiles, maxClientFiles))
	}
	b.SetRuntimeLimit()
	share := func(name string, fraction float64) *intake.Share {
		s := b.Share(name, fraction)
		s.BodyTime = func(*http.Request) time.Duration { return d.settings.Limits.ReadTimeout.Duration }
		return s
	}
	callers, operators, peers := share("callers", callerShare), share("operators", operatorShare), share("peers", peerShare)
	peers.Configure(d.peers)
	go func() { failed <- jsonhttp.ServeShare(d.callers, listeners[0], callers) }()
	go func() { failed <- jsonhttp.ServeShare(d.operators, listeners[1], operators) }()
	go func() { failed <- d.peers.Serve(peers.Listener(listeners[2])) }()
}

// maxClientFiles bounds the descriptors of clients if the process has no practical limit.
const maxClientFiles = 1 << 20
