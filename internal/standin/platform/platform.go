// Package platform is a stand-in for the platform: its key-value service and its
// list of VMs, which lags behind the actual VMs.
package platform

import (
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
)

// maxHistory is the number of changes retained for watches.
const maxHistory = 4096

// Platform is the stand-in. The zero value has an empty store and an empty VM list.
type Platform struct {
	Faults faults.Set
	Meter  meter.Meter

	mu           sync.Mutex
	entries      map[string]store.Entry
	history      []store.Entry
	revision     uint64
	storeChanged chan struct{}
	vms          vmlist.ListAnswer
	// vmsChanged is closed when the VM list changes.
	vmsChanged chan struct{}
}

// Register adds the HTTP routes of the store and of the VM list.
func (p *Platform) Register(e faults.Router) {
	p.Faults.Install(e)
	e.GET("/v1/kv/get", p.get)
	e.GET("/v1/kv/list", p.list)
	e.GET("/v1/kv/watch", p.watch)
	e.POST("/v1/kv/put", p.put)
	e.POST("/v1/kv/delete", p.delete)
	e.GET("/v1/vms", p.listVMs)
	e.POST("/standin/vms", p.setVMs)
}

func (p *Platform) get(c echo.Context) error {
	p.Meter.Inc("get")
	p.mu.Lock()
	e, ok := p.entries[c.QueryParam("key")]
	p.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, "no such key")
	}
	return c.JSON(http.StatusOK, e)
}

func (p *Platform) list(c echo.Context) error {
	p.Meter.Inc("list")
	limit := math.MaxInt
	if s := c.QueryParam("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return fault.WithField(fault.BadRequest, "limit", "is not a positive number")
		}
		limit = n
	}
	prefix, after := c.QueryParam("prefix"), c.QueryParam("after")
	p.mu.Lock()
	a := store.ListAnswer{Revision: p.revision}
	for key, e := range p.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			a.Entries = append(a.Entries, e)
		}
	}
	p.mu.Unlock()
	sort.Slice(a.Entries, func(i, j int) bool { return a.Entries[i].Key < a.Entries[j].Key })
	if len(a.Entries) > limit {
		a.Entries, a.More = a.Entries[:limit], true
	}
	return c.JSON(http.StatusOK, a)
}

func (p *Platform) put(c echo.Context) error {
	p.Meter.Inc("put")
	var in store.PutRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[in.Key].Revision != in.IfRevision {
		return fault.New(fault.Conflict, "revision is %d", p.entries[in.Key].Revision)
	}
	if p.entries == nil {
		p.entries = make(map[string]store.Entry)
	}
	p.revision++
	e := store.Entry{Key: in.Key, Value: in.Value, Revision: p.revision}
	p.entries[in.Key] = e
	p.record(e)
	return c.JSON(http.StatusOK, store.PutAnswer{Revision: p.revision})
}

func (p *Platform) delete(c echo.Context) error {
	p.Meter.Inc("delete")
	var in store.DeleteRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[in.Key].Revision != in.IfRevision {
		return fault.New(fault.Conflict, "revision is %d", p.entries[in.Key].Revision)
	}
	delete(p.entries, in.Key)
	p.revision++
	p.record(store.Entry{Key: in.Key, Revision: p.revision, Deleted: true})
	return c.JSON(http.StatusOK, store.PutAnswer{Revision: p.revision})
}

// record adds a change to the history and notifies the watches. The caller must hold
// p.mu.
func (p *Platform) record(e store.Entry) {
	p.history = append(p.history, e)
	if len(p.history) > maxHistory {
		p.history = p.history[len(p.history)-maxHistory:]
	}
	if p.storeChanged != nil {
		close(p.storeChanged)
		p.storeChanged = nil
	}
}

func (p *Platform) watch(c echo.Context) error {
	p.Meter.Inc("watch")
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return fault.WithField(fault.BadRequest, "after", "is not a revision")
	}
	waitMS, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if err != nil {
		return fault.WithField(fault.BadRequest, "wait_ms", "is not a number")
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		a, changed := p.changesAfter(c.QueryParam("prefix"), after)
		if len(a.Entries) > 0 {
			return c.JSON(http.StatusOK, a)
		}
		select {
		case <-changed:
		case <-deadline:
			return c.JSON(http.StatusOK, a)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (p *Platform) changesAfter(prefix string, after uint64) (store.ListAnswer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := store.ListAnswer{Revision: p.revision}
	for _, e := range p.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			a.Entries = append(a.Entries, e)
		}
	}
	if p.storeChanged == nil {
		p.storeChanged = make(chan struct{})
	}
	return a, p.storeChanged
}

func (p *Platform) listVMs(c echo.Context) error {
	p.Meter.Inc("vms")
	after, waitMS := uint64(math.MaxUint64), int64(0)
	if s := c.QueryParam("after"); s != "" {
		var err error
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return fault.WithField(fault.BadRequest, "after", "is not a revision")
		}
		if waitMS, err = strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64); err != nil {
			return fault.WithField(fault.BadRequest, "wait_ms", "is not a number")
		}
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		a, changed := p.currentVMs()
		if a.Revision != after {
			return c.JSON(http.StatusOK, a)
		}
		select {
		case <-changed:
		case <-deadline:
			return c.JSON(http.StatusOK, a)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (p *Platform) currentVMs() (vmlist.ListAnswer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vmsChanged == nil {
		p.vmsChanged = make(chan struct{})
	}
	return p.vms, p.vmsChanged
}

func (p *Platform) setVMs(c echo.Context) error {
	var vms []vmlist.VM
	if err := jsonhttp.Decode(c, &vms); err != nil {
		return err
	}
	p.SetVMs(vms)
	return c.NoContent(http.StatusNoContent)
}

// SetVMs replaces the VM list and notifies waiting calls.
func (p *Platform) SetVMs(vms []vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.VMs = vms
	p.vms.Revision++
	if p.vmsChanged != nil {
		close(p.vmsChanged)
		p.vmsChanged = nil
	}
}
