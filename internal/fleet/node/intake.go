package node

import (
	"net/http"

	"github.com/dogwoodworks/dogwoodworks/internal/core/intake"
)

const (
	// clientSockets and callSockets are the shares of the sockets that the connections of
	// clients and of other daemons, and those that their calls need, may use. Connections to
	// workers have another.
	clientSockets = 0.3
	callSockets   = 0.12
	// callFanOut is the number of connections that one call needs: to the store, and beside
	// it to two peers if the store does not respond.
	callFanOut = 3

	// The shares of the listeners. A burst of calls between 43 VMs takes hundreds of
	// connections; the load balancer and the metrics collector use one or two each.
	callerShare  = 0.5
	peerShare    = 0.4
	probeShare   = 0.05
	metricsShare = 0.05
)

// newBudget returns what the clients of the process may hold.
func (n *Node) newBudget() *intake.Budget {
	return &intake.Budget{
		Memory: n.Settings.MemoryBytes, Descriptors: int(float64(n.Settings.MaxSockets) * clientSockets), Log: n.Log, Meter: n.Meter,
	}
}

// jobMemory is the share of the memory that the accepted jobs may take at the planner.
const jobMemory = 0.3

// maxJobMemory returns what the accepted jobs may take at the planner of a VM; 0 for no
// bound.
func maxJobMemory(memory int64) int64 { return int64(jobMemory * float64(memory)) }

// maxCalls returns the largest number of calls in progress; 0 for no bound.
func maxCalls(sockets int) int {
	if sockets == 0 {
		return 0
	}
	return max(1, int(float64(sockets)*callSockets/callFanOut))
}

// callers returns the share of the callers' listener.
func (n *Node) callers(b *intake.Budget) *intake.Share {
	s := b.Share("callers", callerShare, callerShare)
	s.Account, s.BodyTime = n.Platform.CallerAccount, n.Platform.CallTimeout
	return s
}

// peerListener returns the share of the listener for other daemons.
func (n *Node) peerListener(b *intake.Budget) *intake.Share {
	s := b.Share("peers", peerShare, peerShare)
	s.TrustReaders = true
	return s
}

// newServer returns a server of a listener's share.
func newServer(h http.Handler, s *intake.Share) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	s.Configure(server)
	return server
}
