package order

import "github.com/dogwoodworks/dogwoodworks/internal/decide/policy"

// The order between accounts addresses a burst of one account while all need more than the
// fleet has: its jobs came first, have the least slack, and would hold all capacity until they
// are late.

// class has what goes before the order between accounts. Units of one class are adjacent after
// sorting.
type class struct {
	guaranteed           bool
	priority, timeliness int
}

func (u *Unit) class(disabled policy.Disabled) class {
	c := class{guaranteed: u.Guaranteed, priority: u.Priority}
	if !disabled[policy.OrderTimeliness] {
		c.timeliness = u.timeliness()
	}
	return c
}

// shareAccounts orders the units of each class such that the next one is of the account that
// holds the least capacity, with that of the units before it. The units of an account keep
// their order. It leaves guaranteed units alone, which have capacity of their own, and
// priorities in which units of fewer than two accounts wait for capacity.
func shareAccounts(units []Unit, indices []int, disabled policy.Disabled) {
	contended := contendedPriorities(units)
	if len(contended) == 0 {
		return
	}
	held := make(map[string]float64)
	for i := range units {
		held[units[i].Account] = max(held[units[i].Account], units[i].Held)
	}
	for from := 0; from < len(indices); {
		c := units[indices[from]].class(disabled)
		to := from
		for to < len(indices) && units[indices[to]].class(disabled) == c {
			to++
		}
		if !c.guaranteed && contended[c.priority] {
			shareClass(units, indices[from:to], held)
		}
		from = to
	}
}

// contendedPriorities returns the priorities in which units of several accounts wait for
// capacity.
func contendedPriorities(units []Unit) map[int]bool {
	first := make(map[int]string)
	contended := make(map[int]bool)
	for i := range units {
		u := &units[i]
		if u.Guaranteed || !u.Blocked {
			continue
		}
		if account, ok := first[u.Priority]; !ok {
			first[u.Priority] = u.Account
		} else if account != u.Account {
			contended[u.Priority] = true
		}
	}
	return contended
}

// shareClass orders the units of one class and adds their demand to held.
func shareClass(units []Unit, indices []int, held map[string]float64) {
	queues := make(map[string][]int)
	var accounts []string
	for _, i := range indices {
		a := units[i].Account
		if queues[a] == nil {
			accounts = append(accounts, a)
		}
		queues[a] = append(queues[a], i)
	}
	for k := range indices {
		least := ""
		for _, a := range accounts {
			if len(queues[a]) > 0 && (len(queues[least]) == 0 || held[a] < held[least]) {
				least = a
			}
		}
		i := queues[least][0]
		queues[least] = queues[least][1:]
		indices[k] = i
		held[least] += units[i].Demand
	}
}
