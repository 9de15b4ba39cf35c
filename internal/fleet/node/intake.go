package node

import (
	"net/http"

	"github.com/dogwoodworks/dogwoodworks/internal/core/intake"
)

const (
	// fileReserve is the number of descriptors for files.
	fileReserve = 200
	// clientFiles is the share of the descriptors that clients and peers may use: the
	// pool of connections to workers keeps up to 0.6 of them open.
	clientFiles = 0.4
	// minClientFiles is that share when few descriptors are left after fileReserve.
	minClientFiles = 0.25

	// The shares of the listeners. A burst of calls between 43 VMs takes hundreds of
	// connections; the load balancer and the metrics collector use one or two each.
	callerShare  = 0.5
	peerShare    = 0.4
	probeShare   = 0.05
	metricsShare = 0.05
)

// newBudget returns what the clients of the process may hold.
func (n *Node) newBudget() *intake.Budget {
	b := &intake.Budget{Memory: n.Settings.MemoryBytes, Log: n.Log, Meter: n.Meter}
	if d := float64(n.Settings.MaxFileDescriptors); d > 0 {
		b.Descriptors = int(max(d*clientFiles-fileReserve, d*minClientFiles))
	}
	return b
}

// callers returns the share of the callers' listener.
func (n *Node) callers(b *intake.Budget) *intake.Share {
	s := b.Share("callers", callerShare, callerShare)
	s.Account, s.BodyTime = n.Platform.CallerAccount, n.Platform.CallTimeout
	return s
}

// newServer returns a server of a listener's share.
func newServer(h http.Handler, s *intake.Share) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	s.Configure(server)
	return server
}
