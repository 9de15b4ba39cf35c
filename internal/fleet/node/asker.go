package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
)

// asker asks the planner: here, or at the VM that holds the lock.
type asker struct{ n *Node }

// staleHolder is the age of what is known of the lock from which peers are
// asked as well.
const staleHolder = 5 * time.Second

// holder returns who plans.
func (a *asker) holder(ctx context.Context) (lock.Holder, error) {
	h, age := a.n.lock.Holder()
	if h.Revision > 0 && age < staleHolder && !a.n.lock.Suspended() {
		return h, nil
	}
	r, err := a.n.peers.Lead(ctx)
	if err == nil && r.GetRevision() > h.Revision {
		return lock.Holder{VMID: r.GetVmId(), IP: r.GetIp(), Revision: r.GetRevision()}, nil
	}
	if h.Revision > 0 {
		return h, nil
	}
	return lock.Holder{}, fault.New(fault.NotReady, "no planner is known")
}

// remote returns the client of the planner's VM, nil when it is this one.
func (a *asker) remote(ctx context.Context) (nodev1connect.NodeServiceClient, error) {
	h, err := a.holder(ctx)
	if err != nil {
		return nil, err
	}
	if h.IP == a.n.Settings.IP {
		return nil, nil
	}
	return a.n.peers.Client(h.IP), nil
}

// Submit implements entry.Planner.
func (a *asker) Submit(ctx context.Context, id string, record []byte) error {
	c, err := a.remote(ctx)
	if err != nil {
		return err
	}
	if c == nil {
		return a.n.planner.Submit(ctx, id, record)
	}
	_, err = c.SubmitJob(ctx, &nodev1.SubmitJobRequest{Id: id, Record: record})
	return err
}

// Cancel implements entry.Planner.
func (a *asker) Cancel(ctx context.Context, id string) error {
	c, err := a.remote(ctx)
	if err != nil {
		return err
	}
	if c == nil {
		return a.n.planner.Cancel(id)
	}
	_, err = c.CancelJob(ctx, &nodev1.CancelJobRequest{Id: id})
	return err
}

// State implements entry.Planner.
func (a *asker) State(ctx context.Context, id string) (model.JobState, bool, error) {
	c, err := a.remote(ctx)
	if err != nil {
		return "", false, err
	}
	if c == nil {
		return a.n.planner.State(id)
	}
	r, err := c.JobState(ctx, &nodev1.JobStateRequest{Id: id})
	if err != nil {
		return "", false, err
	}
	return model.JobState(r.GetState()), r.GetKnown(), nil
}

// Digest implements entry.Planner.
func (a *asker) Digest(ctx context.Context) (model.Digest, error) {
	c, err := a.remote(ctx)
	if err != nil {
		return model.Digest{}, err
	}
	if c == nil {
		return a.n.planner.Digest()
	}
	r, err := c.Digest(ctx, &nodev1.DigestRequest{})
	if err != nil {
		return model.Digest{}, err
	}
	d := model.Digest{Pending: r.GetPending()}
	for _, x := range r.GetRooms() {
		d.Rooms = append(d.Rooms, model.Room{
			Service: x.GetService(), Labels: x.GetLabels(), Workers: x.GetWorkers(),
			Capacity: model.Shape{MilliCPU: x.GetMilliCpu(), MemoryMB: x.GetMemoryMb(), Accelerators: x.GetAccelerators()},
		})
	}
	return d, nil
}

const (
	// memberTTL is how long a lost VM stays on the list of VMs.
	memberTTL = 12 * time.Second
	// memberPause is the time between two renewals and readings of that list.
	memberPause = 4 * time.Second
	// memberRetry is the pause after a failed attempt.
	memberRetry = time.Second
	// memberTimeout bounds a call for the list.
	memberTimeout = 800 * time.Millisecond
)

// member is what a VM says of itself on the list of VMs.
type member struct {
	IP string `json:"ip"`
}

// announce keeps this VM on the list of VMs, and reads the others from there.
func (n *Node) announce(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		var err error
		lease, err = n.renewMember(ctx, lease)
		if err == nil {
			err = n.readMembers(ctx)
		}
		delay := memberPause
		if err != nil {
			n.Meter.Inc("member_retry")
			delay = memberRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// renewMember renews the lease of this VM's entry, or writes it anew.
func (n *Node) renewMember(ctx context.Context, lease int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	if lease != 0 {
		err := n.Platform.Store.Keep(ctx, lease)
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
			n.Log.Warn("an entry of the list of VMs can't be read", "key", it.Key, "error", err)
			continue
		}
		n.peers.Add(m.IP)
	}
	return nil
}
