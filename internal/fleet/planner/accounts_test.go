package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// burstOfOne plays 10 accounts that submit 2.5 jobs a second together, of which the first
// submits 7.5 more for 20 s, where the fleet can do 4, and returns the share of jobs in time by queue and account.
func burstOfOne(t *testing.T, configure func(p *planner.Planner)) map[string][]float64 {
	const accounts, rounds, burst = 10, 8, 3
	shares := make(map[string][]float64)
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 4)
		defer fleet.close()
		fleet.configure, fleet.config.c.Accounts = configure, nil
		fleet.startVM("a")
		time.Sleep(time.Second)
		type arrival struct {
			queue, id string
			account   int
		}
		var all []arrival
		submit := func(account int, queue string, accelerators int64) {
			a := arrival{queue, jobID(len(all)), account}
			s := step(1, accelerators, false)
			s.Estimate = 2 * time.Second
			fleet.submitAs(fmt.Sprintf("account-%d", account), a.id, queue, 2*time.Second, s)
			all = append(all, a)
		}
		for round := range rounds {
			for account := range accounts {
				// The burst is as often before a job of the others as after it.
				for i := range burst {
					time.Sleep(100 * time.Millisecond)
					if round > 0 && round < 6 {
						submit(0, "solve", 4)
					}
					if i == account%burst {
						submit(account, "solve", 4)
					}
				}
				if round%2 == account%2 {
					submit(account, "urgent", 1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		fleet.waitForEnd(2 * time.Minute)
		time.Sleep(100 * time.Millisecond)
		inTime, submitted := make(map[string][]float64), make(map[string][]float64)
		for _, a := range all {
			if submitted[a.queue] == nil {
				inTime[a.queue], submitted[a.queue] = make([]float64, accounts), make([]float64, accounts)
			}
			parts := fleet.accounts.parts(a.id)
			submitted[a.queue][a.account]++
			if fleet.world.State(a.id) == model.Completed && parts["age_ms"] <= parts["objective_ms"] {
				inTime[a.queue][a.account]++
			}
		}
		for queue := range submitted {
			for account, n := range submitted[queue] {
				shares[queue] = append(shares[queue], inTime[queue][account]/n)
			}
		}
	})
	return shares
}

// TestBurstOfOneAccount guards against an account whose burst makes the jobs of the others
// late: of the accounts that submit at an even rate, the worst must be served in time in nine of
// ten jobs, and urgent jobs of all accounts in all. By slack alone they are not.
func TestBurstOfOneAccount(t *testing.T) {
	worst := func(shares []float64) float64 {
		least := 1.0
		for _, s := range shares {
			least = min(least, s)
		}
		return least
	}
	shares := burstOfOne(t, nil)
	t.Logf("with: %v", shares)
	if got := worst(shares["solve"][1:]); got < 0.9 {
		t.Errorf("share in time of the worst account without a burst: got %.2f, want at least 0.90", got)
	}
	if got := worst(shares["urgent"]); got < 1 {
		t.Errorf("share of urgent jobs in time of the worst account: got %.2f, want all", got)
	}
	shares = burstOfOne(t, func(p *planner.Planner) { p.Disabled = policy.Disabled{policy.AccountOrder: true} })
	t.Logf("without: %v", shares)
	if got := worst(shares["solve"][1:]); got >= 0.9 {
		t.Errorf("the load does not need an order between accounts: without it, the worst has %.2f in time", got)
	}
}
