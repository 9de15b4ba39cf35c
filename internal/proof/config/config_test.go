// Package config tests the distribution of the configuration with daemons that run
// as separate processes.
package config

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const (
	initialConfig  = "[[accounts]]\nid = \"st-anne\"\n"
	inForceTimeout = 10 * time.Second
)

// start starts two VMs in each of two data centres; a and c are the planners.
func start(t *testing.T) *fleet.Fleet {
	return fleet.Start(t, fleet.Spec{
		VMs: []fleet.VM{
			{ID: "a", DataCentre: "uppland-1", Region: "uppland"},
			{ID: "c", DataCentre: "dalarna-1", Region: "dalarna"},
			{ID: "b", DataCentre: "uppland-1", Region: "uppland"},
			{ID: "d", DataCentre: "dalarna-1", Region: "dalarna"},
		},
		Config: initialConfig,
	})
}

func call(d *fleet.Daemon, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return d.OperatorClient().Call(ctx, method, path, in, out)
}

func current(d *fleet.Daemon) (config.Head, error) {
	var h config.Head
	return h, call(d, http.MethodGet, "/v1/config", nil, &h)
}

// edit adds an exception with the given reason to the configuration that is in
// force at a daemon, and returns the new version. It retries with the same edit id
// until the edit is accepted.
func edit(t *testing.T, d *fleet.Daemon, reason string) uint64 {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		h, err := current(d)
		if err != nil {
			continue
		}
		text := initialConfig
		for _, e := range append(h.Document.Exceptions, config.Exception{Reason: reason}) {
			text += fmt.Sprintf("[[exceptions]]\nreason = %q\nscope = { target = %q }\nset = { cordon = true }\n", e.Reason, e.Reason)
		}
		e := config.Edit{BaseVersion: h.Version, EditID: reason, Author: "eva", Reason: reason, TOML: text}
		if err = call(d, http.MethodPost, "/v1/config", e, &h); err == nil {
			return h.Version
		}
		if fault.Is(err, fault.BadConfig) || fault.Is(err, fault.BadRequest) {
			t.Fatal(err)
		}
	}
	t.Fatalf("edit %s was not accepted", reason)
	return 0
}

func awaitInForce(f *fleet.Fleet, version uint64, names ...string) {
	end := time.Now().Add(inForceTimeout)
	for _, name := range names {
		f.Until(time.Until(end), fmt.Sprintf("version %d is in force on %s", version, name), func() bool {
			h, err := current(f.Daemons[name])
			return err == nil && h.Version >= version
		})
	}
}

func TestConcurrentEditsInForceAfterWatcherKilled(t *testing.T) {
	is := is.New(t)
	f := start(t)
	names := []string{"a", "b", "c", "d"}
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			for i := range 5 {
				edit(t, f.Daemons[name], fmt.Sprint(name, i))
			}
		})
	}
	wg.Wait()
	f.Daemons["c"].Kill()
	awaitInForce(f, 21, "a", "b", "d")
	h, err := current(f.Daemons["d"])
	is.NoErr(err)
	is.Equal(len(h.Document.Exceptions), 20)
	version := edit(t, f.Daemons["b"], "after the loss")
	awaitInForce(f, version, "a", "b", "d")
	var spread operator.Spread
	is.NoErr(call(f.Daemons["a"], http.MethodGet, "/v1/config/spread", nil, &spread))
	f.Until(inForceTimeout, "the killed VM is reported as unreachable", func() bool {
		return call(f.Daemons["a"], http.MethodGet, "/v1/config/spread", nil, &spread) == nil && len(spread.Unreachable) == 1
	})
	is.Equal(spread.Unreachable, []string{"c"})
}

// watchVersions polls the version of each daemon and fails the test if one
// decreases.
func watchVersions(t *testing.T, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for name, d := range f.Daemons {
		wg.Go(func() {
			highest := uint64(0)
			for ctx.Err() == nil {
				var s operator.Status
				if call(d, http.MethodGet, "/v1/daemon", nil, &s) == nil && s.Ready {
					if s.ConfigVersion < highest {
						t.Errorf("%s went from version %d to %d", name, highest, s.ConfigVersion)
					}
					highest = max(highest, s.ConfigVersion)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func setPlatform(f *fleet.Fleet, m relay.Mode) {
	for _, d := range f.Daemons {
		f.PlatformRelay.Set(d.IP, m)
	}
}

// restore replaces the configuration's keys in the store by an old copy.
func restore(t *testing.T, kv *store.Client, old []store.Entry) {
	t.Helper()
	ctx := context.Background()
	now, _, err := kv.List(ctx, "config")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range now {
		if err := kv.Delete(ctx, e.Key, e.Revision); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range old {
		if _, err := kv.Put(ctx, e.Key, e.Value, 0); err != nil {
			t.Fatal(err)
		}
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	f := start(t)
	stop := watchVersions(t, f)
	kv := &store.Client{BaseURL: "http://" + f.PlatformRelay.Address(), Meter: &meter.Meter{}}
	edit(t, f.Daemons["a"], "one")
	old, _, err := kv.List(context.Background(), "config")
	is.NoErr(err)
	edit(t, f.Daemons["a"], "two")
	awaitInForce(f, edit(t, f.Daemons["c"], "three"), "a", "b", "c", "d")
	f.Daemons["d"].Signal(syscall.SIGSTOP)
	setPlatform(f, relay.Refuse)
	f.Daemons["b"].Kill()
	f.Daemons["b"].Start()
	f.Daemons["b"].WaitReady()
	restore(t, kv, old)
	setPlatform(f, relay.Pass)
	version := edit(t, f.Daemons["b"], "four")
	is.Equal(version, uint64(5))
	f.Daemons["d"].Signal(syscall.SIGCONT)
	awaitInForce(f, version, "a", "b", "c", "d")
	stop()
	h, err := current(f.Daemons["d"])
	is.NoErr(err)
	is.Equal(len(h.Document.Exceptions), 4)
	alarms := 0
	for _, d := range f.Daemons {
		if strings.Contains(d.Metrics(), "alarm_config_version_lower") {
			alarms++
		}
	}
	is.True(alarms > 0)
}

func TestNoEditLostWithStoreResponses(t *testing.T) {
	is := is.New(t)
	f := start(t)
	for i := range 10 {
		f.Platform.Faults.Replace(faults.Orders{DropAnswers: 4})
		edit(t, f.Daemons["a"], fmt.Sprint("edit ", i))
	}
	f.Platform.Faults.Replace(faults.Orders{})
	h, err := current(f.Daemons["a"])
	is.NoErr(err)
	is.Equal(h.Version, uint64(11))
	is.Equal(len(h.Document.Exceptions), 10)
	var log operator.Log
	is.NoErr(call(f.Daemons["a"], http.MethodGet, "/v1/config/log", nil, &log))
	is.Equal(len(log.Changes), 11)
}

func TestExceptionWithoutReasonIsRefused(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Spec{VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}}})
	e := config.Edit{
		EditID: "x", Author: "eva", Reason: "x", File: "fleet.toml",
		TOML: "[[exceptions]]\nscope = { target = \"r1\" }\nset = { cordon = true }\n",
	}
	err := call(f.Daemons["a"], http.MethodPost, "/v1/config", e, nil)
	is.True(fault.Is(err, fault.BadConfig))
	is.Equal(err.Error(), "fleet.toml:1: exceptions[0].reason: is missing; accepted: a non-empty string")
}

func TestNewVMWithoutStoreAndPeersIsNotReady(t *testing.T) {
	f := fleet.Start(t, fleet.Spec{VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}}, Config: initialConfig})
	d := f.Daemons["a"]
	d.Kill()
	setPlatform(f, relay.Refuse)
	d.Start()
	const reason = "neither the store nor a peer can be reached"
	f.Until(inForceTimeout, "the daemon reports why it is not ready", func() bool {
		err := d.CallerClient().Call(context.Background(), http.MethodGet, "/readyz", nil, nil)
		return fault.Is(err, fault.NotReady) && strings.Contains(err.Error(), reason) && strings.Contains(d.Log(), reason)
	})
	setPlatform(f, relay.Pass)
	d.WaitReady()
}
