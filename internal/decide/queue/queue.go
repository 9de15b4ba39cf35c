// Package queue orders the waiting requests of one service by class, then by
// the share of the client account, with ageing.
//
// Shares follow start-time fair queueing (P. Goyal, H. M. Vin and H. Cheng,
// "Start-time Fair Queueing", SIGCOMM 1996): every account has a virtual time
// that advances by cost over weight, and the account with the lowest virtual
// time is served first. Virtual times span the classes, so that an account that
// had more than its share in one class gets less in the others.
package queue

import (
	"container/list"
	"math"
	"time"
)

// Ranks is the number of classes.
const Ranks = 3

const (
	// rateWindow is the time constant of the measured arrival and service
	// rates.
	rateWindow = 10 * time.Second
	// agedWaitShare is the share of the ageing limit after which a waiting item
	// is served before all others.
	agedWaitShare = 0.75
	// maxExpectedWaitShare is the largest share of the ageing limit that the
	// expected wait of a new item may take.
	maxExpectedWaitShare = 0.6
	// minRankShare is the least share of the slots of an account that a class
	// is assumed to get.
	minRankShare = 0.02
)

// Item is one waiting request.
type Item struct {
	// ID is unique in the queue.
	ID      string
	Account string
	Kind    string
	// Rank is the order of the class, at least 0 and below Ranks; 0 is served
	// first.
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	// Cost is the expected service time. It must be positive.
	Cost time.Duration
	// AgeingLimit overrides that of the queue if it is not 0.
	AgeingLimit time.Duration
}

// maxLead bounds, by rank, how far the virtual time of an account may be ahead
// of the lowest one while its items are still served in the order of their
// class. It is slot time for each guaranteed slot.
var maxLead = [Ranks]time.Duration{30 * time.Second, 5 * time.Second, 0}

type account struct {
	id          string
	virtualTime float64
	waiting     int
	items       [Ranks]list.List
	cost        [Ranks]time.Duration
	// arrivalRate is the number of slots that arriving work takes, by rank, and
	// serviceRate the number that served work took, both averaged over
	// rateWindow.
	arrivalRate [Ranks]decayingRate
	serviceRate decayingRate
}

// decayingRate is an exponentially decaying average rate. The zero value is 0.
type decayingRate struct {
	value   float64
	updated time.Time
}

func (r *decayingRate) add(work time.Duration, now time.Time) {
	r.value = r.read(now) + work.Seconds()/rateWindow.Seconds()
	r.updated = now
}

func (r *decayingRate) read(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}

type entry struct {
	account *account
	element *list.Element
}

// Queue orders items. The zero value is an empty queue without limits. It is
// not safe for concurrent use.
type Queue struct {
	// Limit bounds the number of items; 0 means no bound.
	Limit int
	// AgeingLimit is the longest intended wait of an item; 0 turns ageing off.
	AgeingLimit time.Duration
	// Slots is the number of requests that are served at the same time. The
	// expected wait is not bounded while Slots is 0.
	Slots float64
	// Weights are the shares of the accounts, all in the same unit. An account
	// that is not listed has the weight 1.
	Weights map[string]float64

	accounts    map[string]*account
	entries     map[string]entry
	virtualTime float64
	cost        time.Duration
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.entries) }

// Waiting returns the number of items of each account that has any.
func (q *Queue) Waiting() map[string]int {
	all := make(map[string]int)
	for id, a := range q.accounts {
		if a.waiting > 0 {
			all[id] = a.waiting
		}
	}
	return all
}

// Push adds an item and returns the items that must be refused: the new one if
// its account's expected wait is too long, or, if the queue is too long, the
// latest item of the account that exceeds its share the most.
func (q *Queue) Push(it Item, now time.Time) []Item {
	a := q.account(it.Account)
	a.arrivalRate[it.Rank].add(it.Cost, now)
	q.insert(it, false)
	if limit := q.ageingLimit(it); limit > 0 && q.ExpectedWait(it.Account, it.Rank, now) > time.Duration(maxExpectedWaitShare*float64(limit)) {
		q.Remove(it.ID)
		return []Item{it}
	}
	if q.Limit <= 0 || q.Len() <= q.Limit {
		return nil
	}
	victim := q.mostOverShare(it.Rank)
	q.Remove(victim.ID)
	return []Item{victim}
}

// Requeue puts an admitted item back at the front of its class and account.
func (q *Queue) Requeue(it Item) { q.insert(it, true) }

func (q *Queue) insert(it Item, front bool) {
	a := q.account(it.Account)
	if a.waiting == 0 {
		a.virtualTime = math.Max(a.virtualTime, q.virtualTime)
	}
	e := (*list.Element)(nil)
	if front {
		e = a.items[it.Rank].PushFront(it)
	} else {
		e = a.items[it.Rank].PushBack(it)
	}
	a.waiting++
	a.cost[it.Rank] += it.Cost
	q.cost += it.Cost
	q.entries[it.ID] = entry{account: a, element: e}
}

func (q *Queue) account(id string) *account {
	if q.accounts == nil {
		q.accounts = make(map[string]*account)
		q.entries = make(map[string]entry)
	}
	a, ok := q.accounts[id]
	if !ok {
		a = &account{id: id, virtualTime: q.virtualTime}
		q.accounts[id] = a
	}
	return a
}

// ExpectedWait returns the expected wait of the latest item of an account and
// class. It assumes that the account is served at its share or, if that was
// higher, at its recent rate, and in the order of its classes.
func (q *Queue) ExpectedWait(id string, rank int, now time.Time) time.Duration {
	if q.Slots <= 0 {
		return 0
	}
	a := q.account(id)
	capacity := math.Max(a.serviceRate.read(now), q.Slots*q.share(id))
	free := capacity
	var waiting time.Duration
	for r := 0; r <= rank; r++ {
		waiting += a.cost[r]
		if r < rank {
			free -= a.arrivalRate[r].read(now)
		}
	}
	free = math.Max(free, capacity*minRankShare)
	return time.Duration(float64(waiting) / free)
}

// share returns an account's fraction of the sum of all weights.
func (q *Queue) share(id string) float64 {
	sum := 0.0
	for other := range q.Weights {
		sum += q.weight(other)
	}
	if _, listed := q.Weights[id]; !listed {
		sum += q.weight(id)
	}
	return q.weight(id) / sum
}

// mostOverShare returns the latest item of the account that has the most
// waiting work for its weight, in the lowest class that has any items. It
// ignores the classes before rank.
func (q *Queue) mostOverShare(rank int) Item {
	for r := Ranks - 1; r >= rank; r-- {
		var worst *account
		for _, a := range q.accounts {
			if a.items[r].Len() == 0 {
				continue
			}
			if worst == nil || q.less(a, worst, -q.backlog(a, r), -q.backlog(worst, r)) {
				worst = a
			}
		}
		if worst != nil {
			return worst.items[r].Back().Value.(Item)
		}
	}
	return Item{}
}

func (q *Queue) backlog(a *account, rank int) float64 {
	return float64(a.cost[rank]) / q.weight(a.id)
}

// less orders accounts by a value, and accounts with equal values by id.
func (q *Queue) less(a, b *account, x, y float64) bool {
	if x != y {
		return x < y
	}
	return a.id < b.id
}

func (q *Queue) weight(id string) float64 {
	if w := q.Weights[id]; w > 0 {
		return w
	}
	return 1
}

// Remove removes an item and reports whether it was there.
func (q *Queue) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	it := e.element.Value.(Item)
	e.account.items[it.Rank].Remove(e.element)
	e.account.waiting--
	e.account.cost[it.Rank] -= it.Cost
	q.cost -= it.Cost
	delete(q.entries, id)
	return true
}

// Pop removes and returns the item to serve next, and charges its cost to its
// account. It returns false if the queue is empty.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	it, ok := q.next(now)
	if !ok {
		return Item{}, false
	}
	a := q.accounts[it.Account]
	q.virtualTime = math.Max(q.virtualTime, q.lowestAccount().virtualTime)
	q.Remove(it.ID)
	a.virtualTime += it.Cost.Seconds() / q.weight(a.id)
	a.serviceRate.add(it.Cost, now)
	return it, true
}

func (q *Queue) next(now time.Time) (Item, bool) {
	if q.Len() == 0 {
		return Item{}, false
	}
	if it, ok := q.aged(now); ok {
		return it, true
	}
	low := q.lowestAccount().virtualTime
	for r := range Ranks {
		a := q.lowestAccountOfRank(r)
		if a != nil && a.virtualTime-low <= maxLead[r].Seconds() {
			return a.items[r].Front().Value.(Item), true
		}
	}
	return Item{}, false
}

func (q *Queue) ageingLimit(it Item) time.Duration {
	if it.AgeingLimit > 0 {
		return it.AgeingLimit
	}
	return q.AgeingLimit
}

// aged returns the oldest item that has waited for agedWaitShare of its ageing
// limit.
func (q *Queue) aged(now time.Time) (Item, bool) {
	var oldest Item
	found := false
	for _, a := range q.accounts {
		for r := range a.items {
			e := a.items[r].Front()
			if e == nil {
				continue
			}
			it := e.Value.(Item)
			limit := q.ageingLimit(it)
			if limit <= 0 || now.Sub(it.Arrived) < time.Duration(agedWaitShare*float64(limit)) {
				continue
			}
			if !found || it.Arrived.Before(oldest.Arrived) || it.Arrived.Equal(oldest.Arrived) && it.ID < oldest.ID {
				oldest, found = it, true
			}
		}
	}
	return oldest, found
}

func (q *Queue) lowestAccount() *account {
	var low *account
	for _, a := range q.accounts {
		if a.waiting > 0 && (low == nil || q.less(a, low, a.virtualTime, low.virtualTime)) {
			low = a
		}
	}
	return low
}

func (q *Queue) lowestAccountOfRank(rank int) *account {
	var low *account
	for _, a := range q.accounts {
		if a.items[rank].Len() > 0 && (low == nil || q.less(a, low, a.virtualTime, low.virtualTime)) {
			low = a
		}
	}
	return low
}

// CorrectCharge corrects the charge of a served item by the difference between
// its actual service time and its cost.
func (q *Queue) CorrectCharge(it Item, took time.Duration) {
	a := q.account(it.Account)
	a.virtualTime += (took - it.Cost).Seconds() / q.weight(a.id)
}

// TotalCost returns the sum of the expected service times of all items.
func (q *Queue) TotalCost() time.Duration {
	return q.cost
}
