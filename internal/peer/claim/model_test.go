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
	guardOff  = flag.String("guard-off", "", "rule to turn off in TestSchedules")
)

var shape = network.Shape{
	VMs: 3, Keys: 5, Homeless: true, Actions: 60, Step: 600 * time.Millisecond,
	Faults:  network.Rates{LoseRequest: 0.04, LoseAnswer: 0.06, Late: 0.06},
	Weights: network.Weights{Submit: 30, Cut: 4, Outage: 8, Pause: 3, Restart: 5, Replace: 2, Leave: 3},
}

// run runs a schedule in virtual time and returns its history.
func run(t *testing.T, seed uint64, guard string, check func(f *network.Fleet)) *network.History {
	var h *network.History
	synctest.Test(t, func(*testing.T) {
		var f *network.Fleet
		h, f = network.Run(seed, shape, func(m *claim.Member) { claim.TurnOff(m, guard) })
		if check != nil {
			check(f)
		}
		f.Close()
		time.Sleep(time.Minute)
	})
	return h
}

// shards is the number of tests that share the schedules.
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
	detached, sends, served := 0, 0, 0
	for seed := *first + shard; seed < *first+*schedules; seed += shards {
		h := run(t, seed, *guardOff, func(f *network.Fleet) {
			n, refused := servedDetached(f)
			served += n
			if len(refused) > 0 {
				t.Errorf("seed %d: store down, all members reachable, not served: %v", seed, refused)
			}
		})
		if len(h.Twice()) > 0 || len(h.SentAbandoned()) > 0 || len(h.Wrong) > 0 {
			t.Errorf("seed %d: sent twice %v, sent after it was given back %v, wrong results %v\n%v", seed, h.Twice(), h.SentAbandoned(), h.Wrong, h.Sends)
		}
		detached += h.Detached
		sends += len(h.Sends)
	}
	t.Logf("%d sends, %d of them detached; store down at the end: %d keys served", sends, detached, served)
	is.New(t).True(*schedules < 100 || (detached > 0 && served > 0)) // the schedules reach detached claims
}

// servedDetached takes the store from all VMs once every fault is healed, and
// counts the VMs at which a fresh key is served.
func servedDetached(f *network.Fleet) (n int, refused []string) {
	vms := f.VMs()
	for id := range vms {
		f.Network.CutStore(id, true)
	}
	for id, v := range vms {
		if !v.Member.View().RefuseUntil.Before(time.Now()) {
			continue // a roster lost whole: keys are refused for the horizon
		}
		ctx, cancel := context.WithTimeout(v.Context(), 5*time.Second)
		t, _, err := v.Book.Claim(ctx, network.Request("fresh-"+id))
		cancel()
		if err != nil || t.Revision != 0 {
			refused = append(refused, fmt.Sprintf("%s: %v", v.Incarnation, err))
			continue
		}
		n++
	}
	return n, refused
}

// TestGuardsAreNeeded shows for each rule a schedule in which a key is sent
// twice without it and once with it.
func TestGuardsAreNeeded(t *testing.T) {
	b, err := os.ReadFile("testdata/guards.toml")
	is.New(t).NoErr(err)
	var kept struct{ Seeds map[string]uint64 }
	is.New(t).NoErr(toml.Unmarshal(b, &kept))
	for guard, seed := range kept.Seeds {
		t.Run(guard, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(run(t, seed, "", nil).Twice()), 0)
			is.True(len(run(t, seed, guard, nil).Twice()) > 0)
		})
	}
	is.New(t).Equal(len(kept.Seeds), 6)
}
