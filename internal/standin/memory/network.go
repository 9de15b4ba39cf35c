package memory

import (
	"context"
	"io"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// VM is one VM of a Network.
type VM struct {
	config.Manager
	// Name is the VM's ID and address.
	Name string

	network *Network
	reports map[string]peerReport
	killed  bool
	cancel  context.CancelFunc
}

type peerReport struct {
	version    uint64
	receivedAt time.Time
}

// Network connects VMs. Cut, if not nil, reports whether two data centres are
// disconnected.
type Network struct {
	mu  sync.Mutex
	vms map[string]*VM
	Cut func(a, b string) bool
}

const (
	heartbeatInterval = time.Second
	reportTimeout     = 3 * time.Second
)

// Add adds a VM that receives heartbeats. It sends its own after Start.
func (n *Network) Add(name, dataCentre string, kv config.KV) *VM {
	v := &VM{network: n, Name: name, reports: make(map[string]peerReport)}
	v.KV, v.Peers, v.Meter, v.DataCentre = kv, v, &meter.Meter{}, dataCentre
	v.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	v.Watching = v.isFirstLive
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.vms == nil {
		n.vms = make(map[string]*VM)
	}
	n.vms[name] = v
	return v
}

// Start runs the VM's background tasks and sends its heartbeats until Kill.
func (v *VM) Start() *VM {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go v.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			v.sendHeartbeat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return v
}

// Kill stops the VM and disconnects it.
func (v *VM) Kill() {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	v.killed = true
	v.cancel()
}

func (v *VM) reaches(o *VM) bool {
	return !v.killed && !o.killed && o != v && (v.network.Cut == nil || !v.network.Cut(v.DataCentre, o.DataCentre))
}

// sendHeartbeat sends a heartbeat to the VMs of the same data centre and, if v is its
// data centre's first live VM, to the first live VMs of the others.
func (v *VM) sendHeartbeat() {
	version, sendsAcross := v.Current().Version, v.isFirstLive()
	for _, o := range v.network.otherVMs(v) {
		if o.DataCentre != v.DataCentre && (!sendsAcross || !o.isFirstLive()) {
			continue
		}
		v.network.mu.Lock()
		if v.reaches(o) {
			o.reports[v.Name] = peerReport{version, time.Now()}
		}
		v.network.mu.Unlock()
	}
}

func (n *Network) otherVMs(v *VM) []*VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*VM
	for _, o := range n.vms {
		if o != v {
			all = append(all, o)
		}
	}
	return all
}

// isFirstLive reports whether v is the first live VM of its data centre by name.
func (v *VM) isFirstLive() bool {
	for _, p := range v.Live() {
		if p.DataCentre == v.DataCentre && p.VMID < v.Name {
			return false
		}
	}
	return true
}

// Live returns the VMs whose latest heartbeat is at most 3 s old, sorted by ID.
func (v *VM) Live() []config.Peer {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	var live []config.Peer
	for name, r := range v.reports {
		if time.Since(r.receivedAt) <= reportTimeout {
			live = append(live, config.Peer{VMID: name, Address: name, DataCentre: v.network.vms[name].DataCentre, Version: r.version})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].VMID < live[j].VMID })
	return live
}

// Expected returns the number of other VMs of the data centre.
func (v *VM) Expected() int {
	n := 0
	for _, o := range v.network.otherVMs(v) {
		if o.DataCentre == v.DataCentre {
			n++
		}
	}
	return n
}

// Fetch queries another VM for its configuration. The error is Unreachable if the VM
// is not connected.
func (v *VM) Fetch(_ context.Context, address string, have uint64) (config.Update, error) {
	v.network.mu.Lock()
	o := v.network.vms[address]
	reaches := v.reaches(o)
	v.network.mu.Unlock()
	if !reaches {
		return config.Update{}, fault.New(fault.Unreachable, "cut")
	}
	return o.Update(have), nil
}
