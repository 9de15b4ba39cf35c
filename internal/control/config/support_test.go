package config_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// kv is a store in memory. loseAnswer, when set, tells whether the answer to a
// write is lost after the effect.
type kv struct {
	mu         sync.Mutex
	entries    map[string]store.Entry
	revision   uint64
	changed    chan struct{}
	down       bool
	loseAnswer func(key string) bool
	puts       map[string]int
}

func (s *kv) Get(_ context.Context, key string) (store.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Entry{}, false, fault.New(fault.StoreUnavailable, "down")
	}
	e, ok := s.entries[key]
	return e, ok, nil
}

func (s *kv) List(_ context.Context, prefix string) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, fault.New(fault.StoreUnavailable, "down")
	}
	var all []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, s.revision, nil
}

func (s *kv) Put(_ context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fault.New(fault.StoreUnavailable, "down")
	}
	if s.entries[key].Revision != ifRevision {
		return 0, fault.New(fault.Conflict, "revision")
	}
	if s.entries == nil {
		s.entries, s.puts = make(map[string]store.Entry), make(map[string]int)
	}
	s.revision++
	s.puts[key]++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	s.wake()
	if s.loseAnswer != nil && s.loseAnswer(key) {
		return 0, fault.New(fault.ClaimUnresolved, "the answer was lost")
	}
	return s.revision, nil
}

func (s *kv) Delete(_ context.Context, key string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
	return nil
}

func (s *kv) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *kv) Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error) {
	for {
		s.mu.Lock()
		e, ok := s.entries[prefix]
		rev, down := s.revision, s.down
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if down {
			return nil, 0, fault.New(fault.StoreUnavailable, "down")
		}
		if ok && e.Revision > after {
			return []store.Entry{e}, rev, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// copyOf and restore make and put back a copy of the whole store.
func (s *kv) copyOf() *kv {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &kv{entries: make(map[string]store.Entry), revision: s.revision}
	for k, e := range s.entries {
		c.entries[k] = e
	}
	return c
}

func (s *kv) restore(c *kv) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.revision = c.copyOf().entries, c.revision
	s.wake()
}

func (s *kv) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// vm is one VM of a network in memory.
type vm struct {
	config.Keeper
	net   *network
	name  string
	heard map[string]report
	off   bool
	stop  context.CancelFunc
}

type report struct {
	version uint64
	at      time.Time
}

// network joins VMs; cut tells whether two data centres are cut off.
type network struct {
	mu  sync.Mutex
	vms map[string]*vm
	cut func(a, b string) bool
}

const silentAfter = 3 * time.Second

func (n *network) add(name, dataCentre string, s *kv) *vm {
	v := &vm{net: n, name: name, heard: make(map[string]report)}
	v.KV, v.Peers, v.Meter, v.DataCentre = s, v, &meter.Meter{}, dataCentre
	v.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	v.Watching = v.first
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.vms == nil {
		n.vms = make(map[string]*vm)
	}
	n.vms[name] = v
	return v
}

// start runs the VM's duties and its heartbeats until kill.
func (v *vm) start() *vm {
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go v.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			v.beat()
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	return v
}

func (v *vm) kill() {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.off = true
	v.stop()
}

func (v *vm) reaches(o *vm) bool {
	return !v.off && !o.off && o != v && (v.net.cut == nil || !v.net.cut(v.DataCentre, o.DataCentre))
}

func (v *vm) beat() {
	version := v.Current().Version
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	for _, o := range v.net.vms {
		if v.reaches(o) {
			o.heard[v.name] = report{version, time.Now()}
		}
	}
}

// first reports whether v is the first live VM of its data centre by name.
func (v *vm) first() bool {
	for _, p := range v.Live() {
		if p.DataCentre == v.DataCentre && p.VMID < v.name {
			return false
		}
	}
	return true
}

func (v *vm) Live() []config.Peer {
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

func (v *vm) Expected() bool { return false }

func (v *vm) Fetch(_ context.Context, address string, have uint64) (config.Update, error) {
	v.net.mu.Lock()
	o := v.net.vms[address]
	reaches := v.reaches(o)
	v.net.mu.Unlock()
	if !reaches {
		return config.Update{}, fault.New(fault.Unreachable, "cut")
	}
	return o.Update(have), nil
}

// document returns a configuration with one exception for each name.
func document(names ...string) string {
	text := "[[accounts]]\nid = \"st-anne\"\n"
	for _, n := range names {
		text += fmt.Sprintf("[[exceptions]]\nreason = %q\nscope = { target = %q }\nset = { cordon = true }\n", n, n)
	}
	return text
}

func reasons(d config.Document) []string {
	var all []string
	for _, e := range d.Exceptions {
		all = append(all, e.Reason)
	}
	return all
}

// edit adds an exception to what the VM has in force.
func (v *vm) edit(id, name string) (config.Head, error) {
	h := v.Current()
	e := config.Edit{BaseVersion: h.Version, EditID: id, Author: "eva", Reason: name, TOML: document(append(reasons(h.Document), name)...)}
	return v.Apply(context.Background(), e, time.Now())
}

func (v *vm) mustEdit(t *testing.T, name string) config.Head {
	t.Helper()
	h, err := v.edit(name, name)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// hooked is a store whose calls can be held up.
type hooked struct {
	*kv
	before func(call, key string)
}

func (h *hooked) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	h.before("list", prefix)
	return h.kv.List(ctx, prefix)
}

func (h *hooked) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	h.before("put", key)
	return h.kv.Put(ctx, key, value, ifRevision)
}
