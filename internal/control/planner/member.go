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
	// delisted says that the platform's list no longer names the worker.
	delisted bool
	// leaving says that the worker itself or the list says that it leaves.
	leaving bool
	// cordoned says that the configuration stops new work here.
	cordoned bool
	// unresponsive says that the worker has not reported for too long.
	unresponsive bool
	// lastContact is the time at which the last answered report was asked for.
	lastContact time.Time
	// due is the time of the next renewal.
	due time.Time
	// renewing says that a renewal is in flight.
	renewing bool
	// leases are the parts of the attempts that are not concluded.
	leases map[worker.Part]*lease
	// forgetParts are ended parts that the next renewal lets the worker forgetParts.
	forgetParts []worker.Part
	// knownDigest is the digest of the last report when it held exactly the parts
	// whose leases were renewed, and knownParts are these; empty otherwise.
	knownDigest string
	knownParts  map[worker.Part]bool
	// knownReport are the parts of the report that known names.
	knownReport []worker.PartStatus
	// lastStatus is the lastStatus report; nil before the first.
	lastStatus *worker.Status
	// lastStartSucceeded says that the last start here worked.
	lastStartSucceeded bool
}

// lease is the lease of one part at one worker.
type lease struct {
	entry *entry
	// released leases are not renewed any more.
	released bool
	// inFlight says that a call that may prolong the lease is in flight.
	inFlight bool
	// lastExtended is the end of the last such call.
	lastExtended time.Time
}

// closed reports whether the worker gets no new work. One that has not reported
// in this term gets none either.
func (m *member) closed() bool {
	return m.needsEvacuation() || m.cordoned || m.lastStatus == nil
}

// needsEvacuation reports whether the worker has to be emptied.
func (m *member) needsEvacuation() bool {
	return m.delisted || m.leaving || m.vm.Leaving || m.unresponsive
}

// lostAfter is the time without a report after which a worker counts as lost.
// It is shorter than a lease by half a renewal interval, so that the other
// parts of its gangs are stopped before its own have been lapsed for long.
func (p *Planner) lostAfter() time.Duration {
	lease := p.lease()
	return lease - lease/(2*renewalsPerLease)
}

// setWorkers takes the platform's list.
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
		t.p.Log.Info("worker is gone from the platform's list", "worker", id)
		t.refreshWorker(m)
	}
	notify(t.wakePlan)
}

// setWorker adds or changes a worker. t.mu is held.
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

// refreshWorker tells the state about a worker. t.mu is held.
func (t *term) refreshWorker(m *member) {
	if m.delisted && len(m.leases) == 0 {
		t.state.RemoveWorker(m.vm.ID)
		return
	}
	t.state.SetWorker(gang.Worker{
		ID: m.vm.ID, Rack: m.vm.Rack, Accelerators: m.vm.Accelerators, Closed: m.closed(),
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

// newHTTPClient returns a client with connections of its own, so that those to one
// worker can be given up without the others.
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

// call calls one worker. After a call without an answer the next one goes on a
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

// callTimeout leaves room for a second call within the start window and for a
// second renewal within a lease.
func (p *Planner) callTimeout() time.Duration {
	d := p.Config().Document.Defaults
	return min(maxCallTimeout, d.StartWindow.Duration/3, d.Lease.Duration/renewalsPerLease)
}

// eachPart calls f for all workers of a gang at once and returns their errors
// by worker; those without an error are left out.
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
