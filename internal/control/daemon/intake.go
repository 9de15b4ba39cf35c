package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/intake"
	"github.com/dogwoodworks/dogwoodworks/internal/core/machine"
)

const (
	// clientFiles is the share of the process's descriptors that callers, operators and
	// peers may use; the rest is for connections to targets, the store and peers.
	clientFiles = 0.75

	// The shares of the listeners. A member that leaves transfers its claims and records
	// in one call of up to 64 MiB, which fits in the peers' share of the default memory.
	// Peers have few connections with large buffers.
	callerShare     = 0.5
	operatorShare   = 0.1
	peerShare       = 0.4
	peerConnections = 0.1
)

// serve opens and serves the listeners for callers, operators and peers within the memory
// and descriptors of the process.
func (d *Daemon) serve(failed chan<- error) error {
	b := &intake.Budget{
		Memory:      machine.Limit(d.settings.Limits.Memory, machine.Memory()),
		Descriptors: int(min(float64(machine.Descriptors())*clientFiles, maxClientFiles)),
		Log:         d.log, Meter: d.meter,
	}
	b.SetRuntimeLimit()
	d.callers.Server.Handler, d.operators.Server.Handler = d.callers, d.operators
	shares := []struct {
		name, address       string
		memory, descriptors float64
		server              *http.Server
	}{
		{"callers", d.settings.Listen.Callers, callerShare, callerShare, d.callers.Server},
		{"operators", d.settings.Listen.Operators, operatorShare, operatorShare, d.operators.Server},
		{"peers", d.settings.Listen.Peers, peerShare, peerConnections, d.peers},
	}
	listeners := make([]net.Listener, len(shares))
	for i, sh := range shares {
		s := b.Share(sh.name, sh.memory, sh.descriptors)
		s.BodyTime = func(*http.Request) time.Duration { return d.settings.Limits.ReadTimeout.Duration }
		s.TrustReaders = sh.server == d.peers
		s.Configure(sh.server)
		l, err := s.Listen(sh.address)
		if err != nil {
			return fault.Wrap(fault.BadSettings, err, "listen on %s", sh.address)
		}
		listeners[i] = l
	}
	for i, sh := range shares {
		go func() { failed <- sh.server.Serve(listeners[i]) }()
	}
	return nil
}

// maxClientFiles bounds the descriptors of clients if the process has no practical limit.
const maxClientFiles = 1 << 20
