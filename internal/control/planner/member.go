package planner

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// member is one worker during a term. Its fields are guarded by the term's lock.
type member struct {
	vm     vmlist.VM
	client *worker.Client
	// delisted reports whether the worker is no longer on the platform's list.
	delisted bool
	// leaving reports whether the worker's last report says that it is leaving.
	leaving bool
	// cordoned reports whether the configuration stops new work at the worker.
	cordoned bool
	// unresponsive reports whether the worker has not reported for too long.
	unresponsive bool
	// lastContact is the time at which the last report that was received was
	// requested.
	lastContact time.Time
	// due is the time of the next renewal.
	due time.Time
	// renewing reports whether a renewal is in flight.
	renewing bool
	// leases are the leases of the parts whose attempts are not concluded.
	leases map[worker.Part]*lease
	// forgetParts are ended parts that the next renewal lets the worker forget.
	forgetParts []worker.Part
	// knownDigest is the digest of the last report when that listed exactly the
	// parts whose leases were renewed, and knownParts are these parts; empty
	// otherwise.
	knownDigest string
	knownParts  map[worker.Part]bool
	// knownReport are the parts in the report that knownDigest identifies.
	knownReport []worker.PartStatus
	// lastStatus is the last report; nil before the first.
	lastStatus *worker.Status
	// lastStartSucceeded reports whether the last start at this worker
	// succeeded.
	lastStartSucceeded bool
}

// lease is the lease of one part at one worker.
type lease struct {
	entry *entry
	// released reports whether the lease is no longer renewed.
	released bool
	// inFlight reports whether a call that may extend the lease is in flight.
	inFlight bool
	// lastExtended is the end of the last call that may have extended the
	// lease.
	lastExtended time.Time
}

// closed reports whether the worker gets no new work. This includes a worker
// that has not reported in this term.
func (m *member) closed() bool {
	return m.needsEvacuation() || m.cordoned || m.lastStatus == nil
}

// needsEvacuation reports whether the worker's gangs must be moved away.
func (m *member) needsEvacuation() bool {
	return m.delisted || m.leaving || m.vm.Leaving || m.unresponsive
}

// lostAfter is the time without a report after which a worker counts as lost.
// It is half a renewal interval shorter than a lease, so that the other parts
// of its gangs are stopped soon after the leases of its own parts have expired.
func (p *Planner) lostAfter() time.Duration {
	lease := p.lease()
	return lease - lease/(2*renewalsPerLease)
}

// setWorkers applies the platform's list of workers.
func (t *term) setWorkers(vms []vmlist.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		t.setWorker(vm)
	}
	for id, m := range t.members {
		if listed[id] || m.delisted {
			continue
		}
		m.delisted = true
		t.p.Meter.Inc("planner_worker_gone")
		t.p.Log.Info("worker removed from the platform's list", "worker", id)
		t.refreshWorker(m)
	}
	notify(t.wakePlan)
}

// setWorker adds or changes a worker. t.mu must be held.
func (t *term) setWorker(vm vmlist.VM) {
	m, ok := t.members[vm.ID]
	if !ok || m.vm.Address != vm.Address {
		client := &worker.Client{Address: vm.Address, Meter: t.p.Meter, HTTP: t.p.newHTTPClient()}
		if !ok {
			m = &member{lastContact: time.Now(), leases: make(map[worker.Part]*lease)}
			t.members[vm.ID] = m
		}
		m.client = client
	}
	changed := !ok || m.delisted || m.vm != vm
	m.vm, m.delisted = vm, false
	if changed {
		t.refreshWorker(m)
	}
}

// refreshWorker updates a worker in the scheduling state. t.mu must be held.
func (t *term) refreshWorker(m *member) {
	if m.delisted && len(m.leases) == 0 {
		t.state.RemoveWorker(m.vm.ID)
		return
	}
	t.state.SetWorker(gang.Worker{
		ID: m.vm.ID, Rack: m.vm.Rack, Accelerators: m.vm.Accelerators, Unschedulable: m.closed(),
	})
	notify(t.wakePlan)
}

func (t *term) allMembers() []*member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m)
	}
	return all
}

// newHTTPClient returns a client with its own connections, so that the
// connections to one worker can be closed without affecting the others.
func (p *Planner) newHTTPClient() *http.Client {
	if p.HTTP == nil {
		return nil
	}
	transport, ok := p.HTTP.Transport.(*http.Transport)
	if !ok {
		return p.HTTP
	}
	return &http.Client{Transport: transport.Clone()}
}

// call calls one worker. After a call without a response, the next one uses a
// new connection. A refused epoch ends the term.
func (t *term) call(ctx context.Context, id string, f func(ctx context.Context, c *worker.Client) error) error {
	t.mu.Lock()
	m, ok := t.members[id]
	var c *worker.Client
	if ok {
		c = m.client
		// The call may change the worker's report.
		m.knownDigest = ""
	}
	t.mu.Unlock()
	if !ok {
		return fault.New(fault.NoTarget, "worker %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, t.p.callTimeout())
	defer cancel()
	err := f(ctx, c)
	if fault.Is(err, fault.AnswerLost) && c.HTTP != nil {
		c.HTTP.CloseIdleConnections()
	}
	if worker.IsEpochRefused(err) {
		t.stepDown()
	}
	return err
}

// maxCallTimeout bounds one call to a worker.
const maxCallTimeout = time.Second

// callTimeout returns the time limit of one call to a worker. It leaves time
// for a second call within the start window and for a second renewal within a
// lease.
func (p *Planner) callTimeout() time.Duration {
	d := p.Config().Document.Defaults
	return min(maxCallTimeout, d.StartWindow.Duration/3, d.Lease.Duration/renewalsPerLease)
}

// eachPart calls f concurrently for all workers of a gang and returns the
// errors by worker; it leaves out workers without an error.
func (t *term) eachPart(ctx context.Context, parts map[string]partSlots,
	f func(ctx context.Context, id string, c *worker.Client) error,
) map[string]error {
	type result struct {
		id  string
		err error
	}
	results := make(chan result, len(parts))
	for id := range parts {
		go func() {
			err := t.call(ctx, id, func(ctx context.Context, c *worker.Client) error { return f(ctx, id, c) })
			results <- result{id: id, err: err}
		}()
	}
	errs := make(map[string]error)
	for range parts {
		if r := <-results; r.err != nil {
			errs[r.id] = r.err
		}
	}
	return errs
}
