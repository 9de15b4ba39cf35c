package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/vm"
)

// plannerRouter forwards calls to the planner, which runs in this process or at the
// VM that owns the planner lock.
type plannerRouter struct{ n *Node }

// maxHolderAge is the age of the last reading of the planner lock from which peers
// are queried as well.
const maxHolderAge = 5 * time.Second

// holder returns the holder of the planner lock.
func (r *plannerRouter) holder(ctx context.Context) (lock.Holder, error) {
	h, age := r.n.lock.Holder()
	if h.Revision > 0 && age < maxHolderAge && !r.n.lock.Suspended() {
		return h, nil
	}
	resp, err := r.n.peers.Lead(ctx)
	if err == nil && resp.GetRevision() > h.Revision {
		return lock.Holder{VMID: resp.GetVmId(), IP: resp.GetIp(), Revision: resp.GetRevision()}, nil
	}
	if h.Revision > 0 {
		return h, nil
	}
	return lock.Holder{}, fault.New(fault.NotReady, "no VM is known to hold the planner lock")
}

// planner returns the planner of this process, or a client of that at another VM.
func (r *plannerRouter) planner(ctx context.Context) (vm.Planner, error) {
	h, err := r.holder(ctx)
	if err != nil {
		return nil, err
	}
	if net.ParseIP(h.IP) == nil {
		return nil, fault.New(fault.NotReady, "the planner lock of term %d names no VM", h.Revision)
	}
	if h.IP == r.n.Settings.IP {
		return r.n.planner, nil
	}
	return r.n.peers.RemotePlanner(h.IP), nil
}

// Submit implements entry.Planner.
func (r *plannerRouter) Submit(ctx context.Context, id string, record []byte) error {
	p, err := r.planner(ctx)
	if err != nil {
		return err
	}
	return p.Submit(ctx, id, record)
}

// Cancel implements entry.Planner.
func (r *plannerRouter) Cancel(ctx context.Context, id string) error {
	p, err := r.planner(ctx)
	if err != nil {
		return err
	}
	return p.Cancel(ctx, id)
}

// State implements entry.Planner.
func (r *plannerRouter) State(ctx context.Context, id string) (model.JobState, bool, error) {
	p, err := r.planner(ctx)
	if err != nil {
		return "", false, err
	}
	return p.State(ctx, id)
}

// Summary implements entry.Planner.
func (r *plannerRouter) Summary(ctx context.Context) (model.PlannerSummary, error) {
	p, err := r.planner(ctx)
	if err != nil {
		return model.PlannerSummary{}, err
	}
	return p.Summary(ctx)
}

const (
	// memberTTL is how long a lost VM remains in the list of VMs.
	memberTTL = 12 * time.Second
	// memberInterval is the time between two renewals and readings of that list.
	memberInterval = 4 * time.Second
	// memberRetryDelay is the pause after a failed attempt.
	memberRetryDelay = time.Second
	// memberTimeout bounds the store calls of one renewal or reading of the list.
	memberTimeout = 800 * time.Millisecond
)

// member is the entry of a VM in the list of VMs.
type member struct {
	IP string `json:"ip"`
}

// syncMembers keeps the entry of this VM in the list of VMs, and adds the VMs listed
// there as peers, until ctx ends.
func (n *Node) syncMembers(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		var err error
		lease, err = n.renewMember(ctx, lease)
		if err == nil {
			err = n.readMembers(ctx)
		}
		delay := memberInterval
		if err != nil {
			n.Meter.Inc("member_retry")
			delay = memberRetryDelay
		}
		pause.For(ctx, delay)
	}
}

// renewMember renews the lease of this VM's entry, or writes the entry under a new
// lease. It returns the lease, 0 for none.
func (n *Node) renewMember(ctx context.Context, lease int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	if lease != 0 {
		err := n.Platform.Store.KeepAlive(ctx, lease)
		if !fault.Is(err, fault.NotFound) {
			return lease, err
		}
	}
	lease, _, err := n.Platform.Store.Grant(ctx, memberTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(member{IP: n.Settings.IP})
	if err != nil {
		return 0, err
	}
	_, _, err = n.Platform.Store.Apply(ctx, store.Txn{
		Puts: []store.Put{{Key: store.VMPrefix + n.Settings.VMID, Value: value, Lease: lease}},
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

func (n *Node) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	items, _, err := n.Platform.Store.Range(ctx, store.VMPrefix)
	if err != nil {
		return err
	}
	for _, it := range items {
		var m member
		if err := json.Unmarshal(it.Value, &m); err != nil {
			n.Log.Warn("can't decode an entry in the list of VMs", "key", it.Key, "error", err)
			continue
		}
		n.peers.Add(m.IP)
	}
	return nil
}
