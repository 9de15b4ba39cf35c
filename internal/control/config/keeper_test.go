package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/memory"
)

const propagationLimit = 10 * time.Second

// TestConcurrentEditsAreAllApplied edits at two VMs concurrently while one in five
// responses of the store is lost.
func TestConcurrentEditsAreAllApplied(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	s := &memory.Store{LoseAnswer: func(string) bool { return r.IntN(5) == 0 }}
	n := &memory.Network{}
	vms := []*memory.VM{n.Add("a", "uppland-1", s), n.Add("b", "dalarna-1", s)}
	var wg sync.WaitGroup
	conflicts := make([]int, len(vms))
	for i, v := range vms {
		wg.Go(func() {
			for j := range 100 {
				id := fmt.Sprintf("%s-%d", v.Name, j)
				for {
					_, err := edit(v, id, id)
					if err == nil {
						break
					}
					if fault.Is(err, fault.Conflict) {
						conflicts[i]++
						if !strings.Contains(err.Error(), "by eva") || !strings.Contains(err.Error(), ".reason = ") {
							t.Errorf("the conflict does not name the author and the change: %v", err)
						}
						continue
					}
					t.Errorf("edit %s: %v", id, err)
					return
				}
			}
		})
	}
	wg.Wait()
	is.NoErr(vms[0].Load(context.Background()))
	head := vms[0].Current()
	is.Equal(head.Version, uint64(200))
	is.Equal(len(reasons(head.Document)), 200)
	is.True(conflicts[0]+conflicts[1] > 0)
	log, err := vms[0].History(context.Background(), 1000)
	is.NoErr(err)
	is.Equal(len(log), 200)
}

// startFleet returns a running fleet of data centres with two VMs each.
func startFleet(n *memory.Network, s *memory.Store, dataCentres int) []*memory.VM {
	var vms []*memory.VM
	for i := range dataCentres {
		for j := range 2 {
			dc := fmt.Sprintf("dc-%d", i)
			vms = append(vms, n.Add(fmt.Sprintf("%s-%d", dc, j), dc, s).Start())
		}
	}
	time.Sleep(2 * time.Second)
	return vms
}

func stopAll(vms []*memory.VM) {
	for _, v := range vms {
		v.Kill()
	}
}

// expectInForce fails unless a version takes effect on all VMs within
// propagationLimit.
func expectInForce(t *testing.T, vms []*memory.VM, version uint64) {
	t.Helper()
	end := time.Now().Add(propagationLimit)
	for _, v := range vms {
		for v.Current().Version < version {
			if time.Now().After(end) {
				t.Fatalf("%s has version %d, want %d", v.Name, v.Current().Version, version)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// TestPropagationAtTenTimesDailyEditRate applies the edits of one day in a tenth of
// a day.
func TestPropagationAtTenTimesDailyEditRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 3)
		defer stopAll(vms)
		const changes = 3200
		for i := range changes {
			v := vms[i%len(vms)]
			h, err := v.Apply(context.Background(), config.Edit{
				BaseVersion: v.Current().Version, EditID: fmt.Sprint(i), Author: "eva", Reason: "day", TOML: document(fmt.Sprint(i)),
			}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			expectInForce(t, vms, h.Version)
			time.Sleep(24*time.Hour/10/changes - time.Since(start))
		}
		if entries, _, _ := s.List(context.Background(), "config"); len(entries) > config.MaxHistory+300 {
			t.Fatalf("the store contains %d records", len(entries))
		}
	})
}

func TestEditBurstPropagatesAfterWatcherStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 8)
		defer stopAll(vms)
		for i := range 20 {
			v := vms[(2*i+1)%len(vms)]
			for j := 0; ; j++ {
				if _, err := edit(v, fmt.Sprint(i), fmt.Sprint(i)); err == nil {
					break
				} else if !fault.Is(err, fault.Conflict) || j > 3 {
					t.Fatal(err)
				}
			}
		}
		vms[2].Kill()
		expectInForce(t, slices.Delete(slices.Clone(vms), 2, 3), 20)
	})
}

// TestWatchPropagatesAfterWatcherStops isolates the data centres from each other,
// so that only store watches propagate the edit, and stops a watching VM just
// before the edit.
func TestWatchPropagatesAfterWatcherStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &memory.Network{Cut: func(a, b string) bool { return a != b }}, &memory.Store{}
		vms := startFleet(n, s, 2)
		defer stopAll(vms)
		vms[2].Kill()
		mustEdit(t, vms[0], "x")
		expectInForce(t, []*memory.VM{vms[0], vms[1], vms[3]}, 1)
	})
}

func TestStoreOutageFetchesFromPeersAndRejectsEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 2)
		defer func() { stopAll(vms) }()
		mustEdit(t, vms[0], "x")
		s.SetDown(true)
		expectInForce(t, vms, 1)
		_, err := edit(vms[0], "y", "y")
		is.True(fault.Is(err, fault.StoreUnavailable))
		fresh := n.Add("dc-1-9", "dc-1", s)
		err = fresh.InitialSync(context.Background())
		is.True(strings.Contains(err.Error(), "neither the store nor a peer"))
		vms = append(vms, fresh.Start())
		time.Sleep(2 * time.Second)
		is.NoErr(fresh.InitialSync(context.Background()))
		is.Equal(fresh.Current().Version, uint64(1))
	})
}

func TestRestoredStoreDoesNotLowerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 2)
		defer func() { stopAll(vms) }()
		for i := range 3 {
			mustEdit(t, vms[0], fmt.Sprint("before-", i))
		}
		old := s.Copy()
		for i := range 4 {
			mustEdit(t, vms[0], fmt.Sprint("@after-", i))
		}
		expectInForce(t, vms, 7)
		s.Restore(old)
		time.Sleep(2 * time.Minute)
		for _, v := range vms {
			is.Equal(v.Current().Version, uint64(7))
		}
		is.True(vms[0].Meter.Count("alarm_config_version_lower") > 0)
		// A new VM reads version 3 from the store and 7 from its peers.
		fresh := n.Add("dc-1-9", "dc-1", s)
		time.Sleep(2 * time.Second)
		is.NoErr(fresh.InitialSync(context.Background()))
		is.Equal(fresh.Current().Version, uint64(7))
		vms = append(vms, fresh.Start())
		h := mustEdit(t, fresh, "next")
		is.Equal(h.Version, uint64(8))
		expectInForce(t, vms, 8)
		is.Equal(len(reasons(vms[0].Current().Document)), 8)
		// The store holds the complete version: a VM without peers can read it.
		isolated := (&memory.Network{}).Add("alone", "dc-0", s)
		is.NoErr(isolated.InitialSync(context.Background()))
		is.Equal(isolated.Current().Document, fresh.Current().Document)
	})
}

// TestEditOnRestoredStoreUsesNewVersion edits at a VM that has an older version
// than its peers and does not synchronize with them. The edit must be based on the
// peers' version and get a version number that no VM has used.
func TestEditOnRestoredStoreUsesNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 2)
		defer stopAll(vms)
		outdated := n.Add("dc-1-9", "dc-1", s)
		mustEdit(t, vms[0], "one")
		is.NoErr(outdated.Load(context.Background()))
		old := s.Copy()
		mustEdit(t, vms[0], "two")
		mustEdit(t, vms[0], "three")
		s.Restore(old)
		time.Sleep(4 * time.Second)
		is.Equal(outdated.Current().Version, uint64(1))
		_, err := outdated.Apply(context.Background(), config.Edit{BaseVersion: 1, EditID: "x", Author: "ola", Reason: "x", TOML: document("x")}, time.Now())
		is.True(fault.Is(err, fault.Conflict))
		h := mustEdit(t, outdated, "four")
		is.Equal(h.Version, uint64(4))
		is.Equal(reasons(h.Document), []string{"one", "two", "three", "four"})
	})
}

func TestLostStoreResponseIsResolved(t *testing.T) {
	is := is.New(t)
	lose := true
	s := &memory.Store{LoseAnswer: func(string) bool { return lose }}
	v, o := (&memory.Network{}).Add("a", "dc", s), (&memory.Network{}).Add("b", "dc", s)
	h := mustEdit(t, v, "x")
	is.Equal(h.Version, uint64(1))
	// The response is lost and the store is down, so the outcome is unknown. The
	// same edit is accepted only once, even when another edit follows it.
	s.DownAfterPut = config.HeadKey
	_, err := edit(v, "y", "y")
	is.True(fault.Is(err, fault.ClaimUnresolved))
	lose, s.DownAfterPut = false, ""
	s.SetDown(false)
	is.NoErr(o.Load(context.Background()))
	mustEdit(t, o, "z")
	h, err = edit(v, "y", "y")
	is.NoErr(err)
	is.Equal(h.Version, uint64(3))
	is.Equal(reasons(h.Document), []string{"x", "y", "z"})
}

func TestHomeChangeNeedsTwoEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, s := &memory.Network{}, &memory.Store{}
		vms := startFleet(n, s, 1)
		defer stopAll(vms)
		apply := func(base uint64, home string) error {
			_, err := vms[0].Apply(context.Background(), config.Edit{
				BaseVersion: base, EditID: fmt.Sprint(base, home), Author: "eva", Reason: "move",
				TOML: fmt.Sprintf("[[accounts]]\nid = \"counters\"\nhome = %q\n", home),
			}, time.Now())
			return err
		}
		is.NoErr(apply(0, "dc-0"))
		is.True(fault.Is(apply(1, "dc-1"), fault.BadConfig))
		is.NoErr(apply(1, ""))
		is.True(fault.Is(apply(2, "dc-1"), fault.NotReady)) // The peer still has version 0.
		expectInForce(t, vms, 2)
		time.Sleep(2 * time.Second)
		is.NoErr(apply(2, "dc-1"))
	})
}

func TestExceptionExpiresWithoutAnEdit(t *testing.T) {
	is := is.New(t)
	doc, err := config.Parse("f", []byte(`
[[accounts]]
id = "a"
[[exceptions]]
reason = "festival week"
expires = 2026-08-01T00:00:00Z
scope = { account = "a" }
set = { queue_limit = 7 }
[[exceptions]]
reason = "slow link"
scope = { data_centre = "dc" }
set = { queue_limit = 9, retry_share = 0.5 }
`))
	is.NoErr(err)
	end := time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)
	q := config.Scope{Account: "a", DataCentre: "dc"}
	before, after := doc.Effective(q, end.Add(-time.Second)), doc.Effective(q, end)
	is.Equal(before.QueueLimit, 7)
	is.Equal(before.Sources[0].Reason, "festival week")
	is.Equal(after.QueueLimit, 9)
	is.Equal(after.RetryShare, 0.5)
	is.Equal(after.Sources[0].Scope, config.Scope{DataCentre: "dc"})
	is.Equal(doc.Effective(config.Scope{}, end).Sources[0].Reason, "")
}

// TestCleanupKeepsSectionsOfPendingEdit removes old sections while an edit that
// will be accepted has written its section but not yet the head.
func TestCleanupKeepsSectionsOfPendingEdit(t *testing.T) {
	is := is.New(t)
	s, n := &memory.Store{}, &memory.Network{}
	a, b := n.Add("a", "dc", s), n.Add("b", "dc", s)
	written, removed, done := make(chan bool), make(chan bool), make(chan error)
	b.KV = &memory.HookedStore{Store: s, Before: func(call, key string) {
		if call == "put" && key == config.HeadKey {
			close(written)
			<-removed
		}
	}}
	a.KV = &memory.HookedStore{Store: s, Before: func(call, key string) {
		if call == "list" && key == "config/sections/exceptions/" {
			go func() {
				_ = b.Load(context.Background())
				_, err := edit(b, "pending", "pending")
				done <- err
			}()
			<-written
		}
	}}
	for i := range 64 {
		mustEdit(t, a, fmt.Sprint(i))
	}
	close(removed)
	is.NoErr(<-done)
	fresh := n.Add("c", "dc", s)
	is.NoErr(fresh.Load(context.Background()))
	is.Equal(fresh.Current().Version, uint64(65))
	sections, _, _ := s.List(context.Background(), "config/sections/")
	is.True(len(sections) < 10)
}

// TestLargeSectionListsAreReadAndCleanedUp changes every section with every edit.
// The store refuses to list all revisions in one response.
func TestLargeSectionListsAreReadAndCleanedUp(t *testing.T) {
	is := is.New(t)
	s, n := &memory.Store{MaxListBytes: 64 << 10}, &memory.Network{}
	v := n.Add("a", "dc", s)
	for i := range 200 {
		text := fmt.Sprintf("[defaults]\nqueue_limit = %d\n", i+1)
		for j := range 20 {
			text += fmt.Sprintf("[[accounts]]\nid = \"account-%d\"\nguarantee = { slots = %d }\n", j, i)
		}
		e := config.Edit{BaseVersion: uint64(i), EditID: fmt.Sprint(i), Author: "eva", Reason: "r", TOML: text}
		_, err := v.Apply(context.Background(), e, time.Now())
		is.NoErr(err)
	}
	s.MaxListBytes = 1 << 10
	fresh := n.Add("b", "dc", s)
	is.NoErr(fresh.Load(context.Background()))
	is.Equal(fresh.Current().Document, v.Current().Document)
	s.MaxListBytes = 0
	sections, _, _ := s.List(context.Background(), "config/sections/")
	is.True(len(sections) < 100*23)
}
