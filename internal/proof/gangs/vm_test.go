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

// vm is an entry VM that scripts act on.
type vm interface {
	submit(r job.Record, key string) (id string, err error)
	cancel(id string) error
	view(id string) (job.Record, bool)
	counters() map[string]int64
	kill()
	alive() bool
}

// daemonProcess is a VM whose daemon runs in its own process.
type daemonProcess struct {
	*fleet.Daemon
	dead bool
}

func (p *daemonProcess) submit(r job.Record, key string) (string, error) {
	c := p.CallerClient()
	c.Header = http.Header{caller.HeaderKey: {key}}
	var a caller.JobAnswer
	in := caller.JobBody{Account: r.Account, Kind: r.Kind, Tasks: r.Tasks, Accelerators: r.Accelerators, DeclaredMS: r.RunMS}
	err := c.Call(context.Background(), http.MethodPost, "/v1/jobs", in, &a)
	return a.JobID, err
}

func (p *daemonProcess) cancel(id string) error {
	return p.CallerClient().Call(context.Background(), http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, nil)
}

func (p *daemonProcess) view(id string) (job.Record, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var v job.View
	err := p.CallerClient().Call(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &v)
	return v.Record, err == nil
}

func (p *daemonProcess) counters() map[string]int64 { return parseCounters(p.Metrics()) }
func (p *daemonProcess) alive() bool                { return !p.dead }
func (p *daemonProcess) kill() {
	p.dead = true
	p.Kill()
}

// localPlanner is a VM whose planner runs in the test's process.
type localPlanner struct {
	planner *planner.Planner
	jobs    *job.Service
	meter   meter.Meter
	chosen  atomic.Bool
	dead    atomic.Bool
	stop    context.CancelFunc
}

// link is a connection of a local planner. Reads and writes fail once the planner
// is killed.
type link struct {
	net.Conn
	vm *localPlanner
}

// Read fails once the planner is killed.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if l.vm.dead.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write fails once the planner is killed.
func (l *link) Write(b []byte) (int, error) {
	if l.vm.dead.Load() {
		return 0, net.ErrClosed
	}
	return l.Conn.Write(b)
}

func (l *localPlanner) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.dead.Load() {
		return nil, net.ErrClosed
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &link{Conn: c, vm: l}, err
}

// selfPeers makes the job service hand jobs over to the planner of the same VM.
type selfPeers struct {
	job.Peers
	self *peerv1.Vm
}

func (p selfPeers) Planner(string) *peerv1.Vm { return p.self }

// storeLedger claims keys in the store only, because the planners of a script
// without daemons have no roster.
type storeLedger struct{ *claim.Ledger }

// Claim claims a key without its home data centre.
func (b storeLedger) Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.RecordedResult, error) {
	r.Home = ""
	return b.Ledger.Claim(ctx, r)
}

func newLocalPlanner(f *fleet.Fleet, vms []vmlist.VM, doc config.Document, checkpoints time.Duration) *localPlanner {
	l := &localPlanner{}
	self := &peerv1.Vm{VmId: uuid.NewString(), Incarnation: uuid.NewString(), DataCentre: dataCentre}
	client := &http.Client{Transport: &http.Transport{DialContext: l.dial}}
	kv := &store.Client{BaseURL: "http://" + f.PlatformRelay.Address(), Meter: &l.meter, HTTP: client}
	records := &job.Records{Store: &record.Records{KV: kv}}
	l.planner = &planner.Planner{
		DataCentre: dataCentre, VMID: self.VmId, IsPlanner: l.chosen.Load,
		Config:  func() config.Head { return config.Head{Header: config.Header{Version: 1}, Document: doc} },
		Records: records, Meter: &l.meter, Log: slog.New(slog.DiscardHandler), HTTP: client,
		Claims:             storeLedger{&claim.Ledger{Self: self, KV: kv, Meter: &l.meter, NewToken: uuid.NewString}},
		CheckpointInterval: checkpoints,
	}
	l.planner.SetWorkers(vms)
	l.jobs = &job.Service{Self: self, Planner: l.planner, Peers: selfPeers{self: self}, Records: records, Meter: &l.meter}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.planner.Run(ctx)
	go l.jobs.Run(ctx)
	return l
}

func (l *localPlanner) submit(r job.Record, key string) (string, error) {
	r.ID = job.NewID(r.Account, key)
	r.DataCentre, r.State, r.Sequence = dataCentre, job.Waiting, 1
	return r.ID, l.jobs.Submit(context.Background(), r)
}

func (l *localPlanner) cancel(id string) error { return l.jobs.Cancel(context.Background(), id) }

func (l *localPlanner) view(id string) (job.Record, bool) {
	all := l.planner.Jobs(id)
	return append(all, job.Record{})[0], len(all) > 0 && l.chosen.Load()
}

func (l *localPlanner) counters() map[string]int64 { return l.meter.Snapshot() }
func (l *localPlanner) alive() bool                { return !l.dead.Load() }
func (l *localPlanner) kill() {
	l.dead.Store(true)
	l.stop()
}
