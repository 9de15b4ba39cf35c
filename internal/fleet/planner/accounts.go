package planner

import (
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/order"
)

// accountService is an account's part of a service: accounts compete for the workers of one.
type accountService struct{ account, service string }

// heldByAccount returns the capacity that the running units of each account occupy, in cores.
func (v *view) heldByAccount() map[accountService]float64 {
	held := make(map[accountService]float64)
	for i, u := range v.running {
		r := &v.in.Running[i]
		held[u.accountService()] += r.Shape.Cores() * float64(len(r.Workers))
	}
	return held
}

func (u *unit) accountService() accountService {
	return accountService{u.job.spec.Account, u.job.queue.Service}
}

// setAccounts sets what decides on the order between accounts.
func (v *view) setAccounts(ranks []order.Unit, steps []waitingStep) {
	held := v.heldByAccount()
	for i := range steps {
		u := steps[i].units[0]
		k := u.accountService()
		ranks[i].Account, ranks[i].Held = k.account+"\x00"+k.service, held[k]
		ranks[i].Demand = u.step().CountedShape().Cores() * float64(u.tasks()*len(steps[i].units))
		ranks[i].Blocked = waitsForCapacity(u.ledger.Current())
	}
}

// waitsForCapacity reports whether a unit with a cause waits for capacity that others hold.
func waitsForCapacity(c cause.Cause) bool {
	switch c {
	case cause.NoCapacity, cause.Fragmented, cause.Reserved, cause.Kept, cause.Closed, cause.Evacuated, cause.Freeing:
		return true
	}
	return false
}
