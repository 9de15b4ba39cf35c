package roster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Delays of the background task that maintains the membership.
const (
	joinDelay    = 200 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// turnDelay is the delay per preceding member before this VM evicts a
	// member, so that the members do not all call the store at the same time.
	turnDelay = time.Second
	// stepTimeout bounds one join or eviction.
	stepTimeout = 30 * time.Second
)

// Wake makes Run check the roster again.
func (m *Manager) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		return
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) wakeChannel() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{}, 1)
	}
	return m.changed
}

// ApplyHeartbeat handles a peer's heartbeat: the incarnations that the peer proves dead
// and the version of the roster that it has read.
func (m *Manager) ApplyHeartbeat(dead []string, version uint64) {
	if len(dead) > 0 {
		m.Member.AddDead(dead)
	}
	m.mu.Lock()
	m.peerVersion = max(m.peerVersion, version)
	m.mu.Unlock()
	if m.stale() {
		m.Wake()
	}
}

// ProvenDead returns the incarnations in the roster that are proven dead, for
// this VM's heartbeats.
func (m *Manager) ProvenDead() []string {
	var dead []string
	list := m.currentList()
	for _, vm := range m.Member.View().Members {
		if m.isProvenDead(vm, list) {
			dead = append(dead, vm.GetIncarnation())
		}
	}
	return dead
}

// stale reports whether the roster must be read from the store: a peer reported
// a later version, or a member is proven dead.
func (m *Manager) stale() bool {
	m.mu.Lock()
	peerVersion := m.peerVersion
	m.mu.Unlock()
	return peerVersion > m.Member.RosterVersion() || len(m.ProvenDead()) > 0
}

// Run joins the roster and then evicts members that are proven dead, until ctx
// ends. It calls the store only after a change.
func (m *Manager) Run(ctx context.Context) {
	wakeChannel := m.wakeChannel()
	delay := joinDelay
	for ctx.Err() == nil {
		if err := m.step(ctx); err != nil {
			m.Meter.Inc("roster_retry")
			pause.For(ctx, m.jitter(delay))
			delay = min(2*delay, maxJoinDelay)
			continue
		}
		delay = joinDelay
		m.waitForChange(ctx, wakeChannel)
	}
}

// waitForChange waits for a call of Wake. While an acknowledged joiner is not a
// member yet, it waits at most for pendingTimeout.
func (m *Manager) waitForChange(ctx context.Context, wakeChannel <-chan struct{}) {
	var timeout <-chan time.Time
	if m.Member.View().Joining {
		t := time.NewTimer(pendingTimeout)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-ctx.Done():
	case <-wakeChannel:
	case <-timeout:
	}
}

func (m *Manager) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	v := m.Member.View()
	if !v.Listed {
		return m.Join(ctx)
	}
	if !m.stale() && !v.Joining {
		return nil
	}
	pause.For(ctx, m.turnWait(v.Members))
	if !m.stale() && !m.Member.View().Joining {
		return nil
	}
	return m.Evict(ctx)
}

// turnWait returns how long this VM waits before an eviction: turnDelay for
// each living member before it in the roster, so that usually only one of them
// calls the store.
func (m *Manager) turnWait(members []*peerv1.Vm) time.Duration {
	preceding := 0
	for _, vm := range members {
		if vm.GetIncarnation() == m.Self.GetIncarnation() {
			break
		}
		if !m.isProvenDead(vm, m.currentList()) {
			preceding++
		}
	}
	return time.Duration(preceding) * turnDelay
}

// jitter returns a random duration between d/2 and d, or the result of Jitter
// when it is set.
func (m *Manager) jitter(d time.Duration) time.Duration {
	if m.Jitter != nil {
		return m.Jitter(d)
	}
	return d/2 + rand.N(d/2+1)
}
