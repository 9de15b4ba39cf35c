package gossip

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Rounds between two heartbeats that differ in content or receiver.
const (
	// summaryRounds is the number of rounds between two heartbeats of the
	// planner that carry the VMs of other data centres to its own.
	summaryRounds = 3
	// searchRounds is the number of rounds between two calls to an address
	// that has not answered yet.
	searchRounds = 5
)

// receivers returns the addresses to call in a round: all live VMs of the same
// data centre; from the planner, one VM of every other data centre whose name
// is greater or that has not called lately, since one exchange serves both; and
// now and then the addresses that do not answer.
func (t *Table) receivers(round uint64) []string {
	self := t.Self.GetDataCentre()
	planner := t.plans()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget()
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
		if self > dc && time.Since(t.calledBy[dc]) <= SilentAfter {
			continue
		}
		all = append(all, t.contact(dc, peers).VM.GetPeerAddress())
	}
	return all
}

// plans reports whether this VM is the planner of its data centre.
func (t *Table) plans() bool {
	return t.Planner(t.Self.GetDataCentre()).GetPeerAddress() == t.Self.GetPeerAddress()
}

// contact returns the VM of another data centre to call: the longest-standing
// live one and, after each call that failed, the next. t.mu is held.
func (t *Table) contact(dc string, peers []*Peer) *Peer {
	sort.Slice(peers, func(i, j int) bool {
		if peers[i].live() != peers[j].live() {
			return peers[i].live()
		}
		return standsLonger(peers[i].VM, peers[j].VM)
	})
	return peers[t.misses[dc]%len(peers)]
}

// countMiss notes whether a call to another data centre failed.
func (t *Table) countMiss(vm *peerv1.Vm, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.misses == nil {
		t.misses = make(map[string]int)
	}
	if failed {
		t.misses[vm.GetDataCentre()]++
		return
	}
	t.misses[vm.GetDataCentre()] = 0
}

// forget removes peers that have been silent for long. t.mu is held.
func (t *Table) forget() {
	for address, p := range t.peers {
		if time.Since(p.LastSeen) > ForgetAfter {
			delete(t.peers, address)
		}
	}
}

// known returns the VMs that a heartbeat tells a receiver of: to a VM of another
// data centre those of this one and, from time to time, those that it may not
// have met, which are its own and one of every third data centre; to a VM of
// this data centre, from time to time and from the planner, all.
func (t *Table) known(to *peerv1.Vm, round uint64) []*peerv1.Vm {
	self, other := t.Self.GetDataCentre(), to.GetDataCentre()
	if other == self && (!t.plans() || round%summaryRounds != 0) {
		return nil
	}
	var all []*peerv1.Vm
	for _, p := range t.Live() {
		if !t.tells(p.VM, other, round) {
			continue
		}
		vm := proto.CloneOf(p.VM)
		vm.AgeMs = time.Since(p.LastSeen).Milliseconds()
		all = append(all, vm)
	}
	return all
}

// tells reports whether a heartbeat to a data centre names a VM.
func (t *Table) tells(vm *peerv1.Vm, receiver string, round uint64) bool {
	self, dc := t.Self.GetDataCentre(), vm.GetDataCentre()
	switch {
	case receiver == self || dc == self:
		return true
	case round%searchRounds != 0:
		return false
	}
	return dc == receiver || t.Planner(dc).GetVmId() == vm.GetVmId()
}

// learn takes what a peer knows of another VM. A VM of this data centre is live
// only once it was heard directly. t.mu is held.
func (t *Table) learn(vm *peerv1.Vm) {
	p := t.add(vm.GetPeerAddress())
	if p == nil || vm.GetVmId() == "" || vm.GetDataCentre() == t.Self.GetDataCentre() {
		return
	}
	seen := time.Now().Add(-time.Duration(vm.GetAgeMs()) * time.Millisecond)
	if p.VM.GetVmId() != "" && !seen.After(p.LastSeen) {
		return
	}
	p.VM, p.LastSeen, p.heard = vm, seen, true
	p.silentAfter = t.silentAfter(vm)
}
