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

// VM is one VM of a Network in memory.
type VM struct {
	config.Keeper
	// Name is the VM's id and address.
	Name string

	net   *Network
	heard map[string]report
	off   bool
	stop  context.CancelFunc
}

type report struct {
	version uint64
	at      time.Time
}

// Network joins VMs; cut tells whether two data centres are cut off.
type Network struct {
	mu  sync.Mutex
	vms map[string]*VM
	Cut func(a, b string) bool
}

const (
	beatInterval = time.Second
	silentAfter  = 3 * time.Second
)

// Add adds a VM that hears heartbeats; Start makes it send its own.
func (n *Network) Add(name, dataCentre string, kv config.KV) *VM {
	v := &VM{net: n, Name: name, heard: make(map[string]report)}
	v.KV, v.Peers, v.Meter, v.DataCentre = kv, v, &meter.Meter{}, dataCentre
	v.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	v.Watching = v.first
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.vms == nil {
		n.vms = make(map[string]*VM)
	}
	n.vms[name] = v
	return v
}

// Start runs the VM's duties and its heartbeats until Kill.
func (v *VM) Start() *VM {
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go v.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			v.beat()
			select {
			case <-ctx.Done():
			case <-time.After(beatInterval):
			}
		}
	}()
	return v
}

// Kill ends the VM.
func (v *VM) Kill() {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.off = true
	v.stop()
}

func (v *VM) reaches(o *VM) bool {
	return !v.off && !o.off && o != v && (v.net.Cut == nil || !v.net.Cut(v.DataCentre, o.DataCentre))
}

func (v *VM) beat() {
	version := v.Current().Version
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	for _, o := range v.net.vms {
		if v.reaches(o) {
			o.heard[v.Name] = report{version, time.Now()}
		}
	}
}

// first reports whether v is the first live VM of its data centre by name.
func (v *VM) first() bool {
	for _, p := range v.Live() {
		if p.DataCentre == v.DataCentre && p.VMID < v.Name {
			return false
		}
	}
	return true
}

// Live returns the VMs that were heard of lately.
func (v *VM) Live() []config.Peer {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	var live []config.Peer
	for name, r := range v.heard {
		if time.Since(r.at) <= silentAfter {
			live = append(live, config.Peer{VMID: name, Address: name, DataCentre: v.net.vms[name].DataCentre, Version: r.version})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].VMID < live[j].VMID })
	return live
}

// Expected returns the number of other VMs that were added.
func (v *VM) Expected() int {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return len(v.net.vms) - 1
}

// Fetch asks another VM.
func (v *VM) Fetch(_ context.Context, address string, have uint64) (config.Update, error) {
	v.net.mu.Lock()
	o := v.net.vms[address]
	reaches := v.reaches(o)
	v.net.mu.Unlock()
	if !reaches {
		return config.Update{}, fault.New(fault.Unreachable, "cut")
	}
	return o.Update(have), nil
}
