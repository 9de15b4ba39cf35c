package factory

import (
	"strconv"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// JobTable returns a row for each job.
func JobTable(jobs ...job.Record) Table {
	t := Table{Header: []string{"id", "account", "kind", "shape", "state", "attempts", "reason"}}
	for _, j := range jobs {
		t.Rows = append(t.Rows, []string{
			j.ID, j.Account, j.Kind, strconv.Itoa(j.Tasks) + "x" + strconv.Itoa(j.Accelerators),
			string(j.State), strconv.Itoa(j.Attempts), j.Reason,
		})
	}
	return t
}

// TargetTable returns a row for each target.
func TargetTable(targets ...operator.Target) Table {
	t := Table{Header: []string{"id", "role", "data centre", "service or rack", "size", "in use", "leaving", "ejected"}}
	for _, x := range targets {
		t.Rows = append(t.Rows, []string{
			x.ID, string(x.Role), x.DataCentre, x.Service + x.Rack, strconv.Itoa(x.Limit + x.Accelerators),
			strconv.Itoa(x.InUse), strconv.FormatBool(x.Leaving), strconv.FormatBool(x.Ejected),
		})
	}
	return t
}

// AccountTable returns a row for each account. The columns about use are "-" when
// the daemon that answered is not the planner.
func AccountTable(accounts ...operator.Account) Table {
	t := Table{Header: []string{"id", "home", "slots", "guarantee", "in use", "borrowed", "reclaimable", "shortfall"}}
	for _, a := range accounts {
		use := []string{"-", "-", "-", "-"}
		if u := a.Usage; u != nil {
			use = []string{strconv.Itoa(u.InUse), strconv.Itoa(u.Borrowed), strconv.Itoa(u.Reclaimable), strconv.Itoa(u.Shortfall)}
		}
		g := a.Guarantee
		row := []string{a.ID, a.Home, strconv.Itoa(g.Slots), strconv.Itoa(g.Workers) + "x" + strconv.Itoa(g.Accelerators)}
		t.Rows = append(t.Rows, append(row, use...))
	}
	return t
}
