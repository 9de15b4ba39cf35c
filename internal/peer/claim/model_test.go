package claim_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/network"
)

var (
	schedules = flag.Uint64("schedules", 2400, "number of seeded schedules")
	first     = flag.Uint64("first", 0, "first seed")
	guardOff  = flag.String("guard-off", "", "rule to disable in TestSchedules")
)

var shape = network.Shape{
	VMs: 3, Keys: 5, Homeless: true, Actions: 60, Step: 600 * time.Millisecond,
	Faults:  network.Rates{LoseRequest: 0.04, LoseAnswer: 0.06, Late: 0.06},
	Weights: network.Weights{Submit: 30, Cut: 4, Outage: 8, Pause: 3, Restart: 5, Replace: 2, Leave: 3},
}

// runSchedule runs the schedule of a seed in virtual time and returns its
// history.
func runSchedule(t *testing.T, seed uint64, guard string, check func(f *network.Fleet)) *network.History {
	var h *network.History
	synctest.Test(t, func(*testing.T) {
		var f *network.Fleet
		h, f = network.Run(seed, shape, func(m *claim.Member) { claim.DisableGuard(m, guard) })
		if check != nil {
			check(f)
		}
		f.Close()
		time.Sleep(time.Minute)
	})
	return h
}

// shards is the number of parallel tests among which the schedules are divided.
const shards = 3

func TestSchedules(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			runShard(t, shard)
		})
	}
}

func runShard(t *testing.T, shard uint64) {
	detached, sends, claimed := 0, 0, 0
	for seed := *first + shard; seed < *first+*schedules; seed += shards {
		h := runSchedule(t, seed, *guardOff, func(f *network.Fleet) {
			n, failures := claimDetached(f)
			claimed += n
			if len(failures) > 0 {
				t.Errorf("seed %d: store unavailable, all members reachable, claims failed: %v", seed, failures)
			}
		})
		if len(h.SentTwice()) > 0 || len(h.SentAbandoned()) > 0 || len(h.WrongResults) > 0 {
			t.Errorf("seed %d: sent twice %v, sent after the claim was abandoned %v, wrong results %v\n%v", seed, h.SentTwice(), h.SentAbandoned(), h.WrongResults, h.Sends)
		}
		detached += h.Detached
		sends += len(h.Sends)
	}
	t.Logf("%d sends, %d of them detached; store unavailable at the end: %d keys claimed", sends, detached, claimed)
	is.New(t).True(*schedules < 100 || (detached > 0 && claimed > 0)) // the schedules must cover detached claims
}

// claimDetached cuts all VMs off from the store after every fault has been
// repaired, and claims a new key at each VM. It returns the number of VMs at
// which the claim succeeded and the failures of the others.
func claimDetached(f *network.Fleet) (n int, failures []string) {
	vms := f.VMs()
	for id := range vms {
		f.Network.CutStore(id, true)
	}
	for id, v := range vms {
		if !v.Member.View().RefuseUntil.Before(time.Now()) {
			continue // all roster members failed: keys are refused until the retry horizon ends
		}
		ctx, cancel := context.WithTimeout(v.Context(), 5*time.Second)
		t, _, err := v.Ledger.Claim(ctx, network.Request("fresh-"+id))
		cancel()
		if err != nil || t.Revision != 0 {
			failures = append(failures, fmt.Sprintf("%s: %v", v.Incarnation, err))
			continue
		}
		n++
	}
	return n, failures
}

// TestGuardsAreNeeded runs, for each rule, a schedule in which a key is sent
// twice when the rule is disabled and at most once when it is enabled.
func TestGuardsAreNeeded(t *testing.T) {
	b, err := os.ReadFile("testdata/guards.toml")
	is.New(t).NoErr(err)
	var guards struct{ Seeds map[string]uint64 }
	is.New(t).NoErr(toml.Unmarshal(b, &guards))
	for guard, seed := range guards.Seeds {
		t.Run(guard, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(runSchedule(t, seed, "", nil).SentTwice()), 0)
			is.True(len(runSchedule(t, seed, guard, nil).SentTwice()) > 0)
		})
	}
	is.New(t).Equal(len(guards.Seeds), 6)
}
