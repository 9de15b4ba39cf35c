package gang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// floodedFleet is a fleet that three accounts flood with small jobs, while the
// fourth submits a job of its whole guarantee or half of it every 30 minutes.
func floodedFleet(seed uint64) list {
	d := brunnsrota()
	owner := d.accounts[1]
	d.accounts = append(d.accounts[:1:1], d.accounts[2:]...)
	d.load, d.span = 2, 6*time.Hour
	d.kinds = d.kinds[2:]
	d.kinds[0].share = 1
	l := d.list(seed)
	l.accounts = append(l.accounts, owner)
	l.accountByID[owner.ID] = owner
	for i := 1; i < 12; i++ {
		l.arrivals = append(l.arrivals, arrival{actual: 5 * time.Minute, Job: gang.Job{
			ID: fmt.Sprintf("shape-%02d", i), Account: owner.ID, Kind: "shape", Rank: 1 + i%2, Tasks: owner.Workers / (1 + i%3/2), Accelerators: owner.Accelerators,
			Adjacent: true, Idempotent: true, DeclaredRunTime: 5 * time.Minute, Submitted: l.begin.Add(time.Duration(i) * 30 * time.Minute),
		}})
	}
	return l
}

func TestReclaim(t *testing.T) {
	var o outcome
	for seed := range uint64(seeds) {
		l := floodedFleet(seed + 1)
		o.gang = append(o.gang, drive(l, newState(l)))
	}
	waited, _ := meanAndMax(o.gang, func(r *result) float64 { return float64(r.reclaimedJobs) })
	printMeasures(t, "reclaim", o.commonMeasures(), []report.Measure{{Name: "shapes taken back by pre-emption", Unit: "per list", Value: waited, AtLeast: report.Float(1)}})
}
