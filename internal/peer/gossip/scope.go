package gossip

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Intervals, in rounds, of heartbeats that are not sent in every round.
const (
	// summaryRounds is the number of rounds between two heartbeats in which the
	// planner reports the VMs of other data centres to the VMs of its own.
	summaryRounds = 3
	// searchRounds is the number of rounds between two calls to an address that
	// has not responded yet.
	searchRounds = 5
)

// receivers returns the addresses to call in a round. These are all live VMs of
// the same data centre and, in every round that is a multiple of searchRounds,
// its addresses that do not respond. The planner also calls one VM of each
// other data centre, unless that data centre's name is smaller and it has
// called lately, because one exchange serves both sides.
func (t *Table) receivers(round uint64) []string {
	self := t.Self.GetDataCentre()
	planner := t.isPlanner()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	search := round%searchRounds == 0
	var all []string
	remote := make(map[string][]*Peer)
	for address, p := range t.peers {
		dc := p.VM.GetDataCentre()
		if dc != "" && dc != self {
			remote[dc] = append(remote[dc], p)
			continue
		}
		if search || p.live() {
			all = append(all, address)
		}
	}
	if !planner {
		return all
	}
	for dc, peers := range remote {
		if self > dc && time.Since(t.calledBy[dc]) <= LivenessTimeout {
			continue
		}
		all = append(all, t.selectContact(dc, peers).VM.GetPeerAddress())
	}
	return all
}

// isPlanner reports whether this VM is the planner of its data centre.
func (t *Table) isPlanner() bool {
	return t.Planner(t.Self.GetDataCentre()).GetPeerAddress() == t.Self.GetPeerAddress()
}

// selectContact returns the VM of another data centre to call: the live VM that
// started first and, after each failed call, the next one. The caller must hold
// t.mu.
func (t *Table) selectContact(dc string, peers []*Peer) *Peer {
	sort.Slice(peers, func(i, j int) bool {
		if peers[i].live() != peers[j].live() {
			return peers[i].live()
		}
		return startedEarlier(peers[i].VM, peers[j].VM)
	})
	return peers[t.failedCalls[dc]%len(peers)]
}

// recordCallResult records whether a call to a VM failed, for its data centre.
func (t *Table) recordCallResult(vm *peerv1.Vm, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failedCalls == nil {
		t.failedCalls = make(map[string]int)
	}
	if failed {
		t.failedCalls[vm.GetDataCentre()]++
		return
	}
	t.failedCalls[vm.GetDataCentre()] = 0
}

// removeExpired removes the peers that have not been seen for ExpireAfter. The
// caller must hold t.mu.
func (t *Table) removeExpired() {
	for address, p := range t.peers {
		if time.Since(p.LastSeen) > ExpireAfter {
			delete(t.peers, address)
		}
	}
}

// knownTo returns the VMs that a heartbeat to a receiver lists. For a VM of
// another data centre these are the VMs of this data centre and, every
// searchRounds rounds, those that the receiver may not have met yet: the VMs of
// its own data centre and the planner of each remaining data centre. For a VM
// of this data centre, the planner lists all VMs every summaryRounds rounds.
func (t *Table) knownTo(to *peerv1.Vm, round uint64) []*peerv1.Vm {
	self, other := t.Self.GetDataCentre(), to.GetDataCentre()
	if other == self && (!t.isPlanner() || round%summaryRounds != 0) {
		return nil
	}
	var all []*peerv1.Vm
	for _, p := range t.Live() {
		if !t.includes(p.VM, other, round) {
			continue
		}
		vm := proto.CloneOf(p.VM)
		vm.AgeMs = time.Since(p.LastSeen).Milliseconds()
		all = append(all, vm)
	}
	return all
}

// includes reports whether a heartbeat to a receiver's data centre lists a VM.
func (t *Table) includes(vm *peerv1.Vm, receiver string, round uint64) bool {
	self, dc := t.Self.GetDataCentre(), vm.GetDataCentre()
	switch {
	case receiver == self || dc == self:
		return true
	case round%searchRounds != 0:
		return false
	}
	return dc == receiver || t.Planner(dc).GetVmId() == vm.GetVmId()
}

// applyReported applies what a peer reports about another VM. A VM of this data
// centre counts as live only after this VM has received a heartbeat from it
// directly. The caller must hold t.mu.
func (t *Table) applyReported(vm *peerv1.Vm) {
	p := t.ensurePeer(vm.GetPeerAddress())
	if p == nil || vm.GetVmId() == "" || vm.GetDataCentre() == t.Self.GetDataCentre() {
		return
	}
	seen := time.Now().Add(-time.Duration(vm.GetAgeMs()) * time.Millisecond)
	if p.VM.GetVmId() != "" && !seen.After(p.LastSeen) {
		return
	}
	p.VM, p.LastSeen, p.identified = vm, seen, true
	p.livenessTimeout = t.livenessTimeout(vm)
}
