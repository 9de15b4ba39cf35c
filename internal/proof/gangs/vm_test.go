package gangs

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/control/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/record"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

// vm is an entry VM as the scripts see it.
type vm interface {
	submit(r job.Record, key string) (id string, err error)
	cancel(id string) error
	view(id string) (job.Record, bool)
	counters() map[string]int64
	kill()
	alive() bool
}

// process is a VM with a daemon of its own.
type process struct {
	*fleet.Daemon
	dead bool
}

func (p *process) submit(r job.Record, key string) (string, error) {
	c := p.CallerClient()
	c.Header = http.Header{caller.HeaderKey: {key}}
	var a caller.JobAnswer
	in := caller.JobBody{Account: r.Account, Kind: r.Kind, Tasks: r.Tasks, Accelerators: r.Accelerators, DeclaredMS: r.RunMS}
	err := c.Call(context.Background(), http.MethodPost, "/v1/jobs", in, &a)
	return a.JobID, err
}

func (p *process) cancel(id string) error {
	return p.CallerClient().Call(context.Background(), http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, nil)
}

func (p *process) view(id string) (job.Record, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var v job.View
	err := p.CallerClient().Call(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &v)
	return v.Record, err == nil
}

func (p *process) counters() map[string]int64 { return parseCounters(p.Metrics()) }
func (p *process) alive() bool                { return !p.dead }
func (p *process) kill() {
	p.dead = true
	p.Kill()
}

// local is a planner in the test's own process.
type local struct {
	planner *planner.Planner
	desk    *job.Service
	meter   meter.Meter
	chosen  atomic.Bool
	dead    atomic.Bool
	stop    context.CancelFunc
}

// link is a connection of a local VM; nothing passes once the VM is dead.
type link struct {
	net.Conn
	vm *local
}

// Read fails once the VM is dead.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if l.vm.dead.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write fails once the VM is dead.
func (l *link) Write(b []byte) (int, error) {
	if l.vm.dead.Load() {
		return 0, net.ErrClosed
	}
	return l.Conn.Write(b)
}

func (l *local) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.dead.Load() {
		return nil, net.ErrClosed
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &link{Conn: c, vm: l}, err
}

// onlySelf makes the desk hand jobs to the planner at the same VM.
type onlySelf struct {
	job.Peers
	self *peerv1.Vm
}

func (o onlySelf) Planner(string) *peerv1.Vm { return o.self }

// inStore claims in the store only: the planners of a script without daemons
// have no roster.
type inStore struct{ *claim.Book }

// Claim claims a key without its home.
func (b inStore) Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.Recorded, error) {
	r.Home = ""
	return b.Book.Claim(ctx, r)
}

func newLocal(f *fleet.Fleet, vms []vmlist.VM, doc config.Document, checkpoints time.Duration) *local {
	l := &local{}
	self := &peerv1.Vm{VmId: uuid.NewString(), Incarnation: uuid.NewString(), DataCentre: dataCentre}
	client := &http.Client{Transport: &http.Transport{DialContext: l.dial}}
	kv := &store.Client{BaseURL: "http://" + f.PlatformRelay.Address(), Meter: &l.meter, HTTP: client}
	records := &job.Records{Keeper: &record.Records{KV: kv}}
	l.planner = &planner.Planner{
		DataCentre: dataCentre, VMID: self.VmId, Chosen: l.chosen.Load,
		Config:  func() config.Head { return config.Head{Header: config.Header{Version: 1}, Document: doc} },
		Records: records, Meter: &l.meter, Log: slog.New(slog.DiscardHandler), HTTP: client,
		Claims:             inStore{&claim.Book{Self: self, KV: kv, Meter: &l.meter, NewToken: uuid.NewString}},
		CheckpointInterval: checkpoints,
	}
	l.planner.SetWorkers(vms)
	l.desk = &job.Service{Self: self, Planner: l.planner, Peers: onlySelf{self: self}, Records: records, Meter: &l.meter}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.planner.Run(ctx)
	go l.desk.Run(ctx)
	return l
}

func (l *local) submit(r job.Record, key string) (string, error) {
	r.ID = job.NewID(r.Account, key)
	r.DataCentre, r.State, r.Sequence = dataCentre, job.Waiting, 1
	return r.ID, l.desk.Submit(context.Background(), r)
}

func (l *local) cancel(id string) error { return l.desk.Cancel(context.Background(), id) }

func (l *local) view(id string) (job.Record, bool) {
	all := l.planner.Jobs(id)
	return append(all, job.Record{})[0], len(all) > 0 && l.chosen.Load()
}

func (l *local) counters() map[string]int64 { return l.meter.Snapshot() }
func (l *local) alive() bool                { return !l.dead.Load() }
func (l *local) kill() {
	l.dead.Store(true)
	l.stop()
}
