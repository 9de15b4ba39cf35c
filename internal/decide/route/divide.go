package route

import (
	"hash/fnv"
	"math"
	"sort"
	"strconv"
)

// Demand is the demand of one client account that one VM reported: the requests
// of a service that wait or run there.
type Demand struct {
	VM      string
	Account string
	// Slots is the number of slots that the account could use. It is not
	// negative.
	Slots float64
}

// Division is one VM's part of the slots of a service in a data centre.
type Division struct {
	// Low and High bound the part of the unit interval that the VM owns; Low is
	// included, High is not.
	Low, High float64
	// Weights are the numbers of slots that each account may count on at this
	// VM.
	Weights map[string]float64
}

const (
	// minVMShare is the share of all slots that every VM gets without any
	// demand.
	minVMShare = 0.01
	// idleDemand is added to the demand of every account at every VM, in slots,
	// so that an account without demand has a weight too.
	idleDemand = 0.5
)

// Divide divides slots among the VMs and returns the part of self, which must
// be one of members. Accounts get slots by weighted max-min fairness over their
// total demand; a VM gets the parts of its accounts. VMs that have the same
// rows compute parts that neither overlap nor leave gaps.
func Divide(self string, members []string, rows []Demand, weights map[string]float64, slots float64) Division {
	members = append([]string(nil), members...)
	sort.Strings(members)
	total := totalDemand(rows)
	granted := maxMinFair(total, weights, slots)
	parts := make(map[string]float64)
	for _, r := range rows {
		if total[r.Account] > 0 {
			parts[r.VM] += granted[r.Account] * r.Slots / total[r.Account]
		}
	}
	sum := 0.0
	for _, m := range members {
		parts[m] += math.Max(minVMShare*slots, 1)
		sum += parts[m]
	}
	d := Division{Weights: localWeights(self, rows, weights, granted, slots, len(members))}
	low := 0.0
	for _, m := range members {
		high := low + parts[m]/sum
		if m == self {
			d.Low, d.High = low, high
			if m == members[len(members)-1] {
				d.High = 1
			}
		}
		low = high
	}
	return d
}

func totalDemand(rows []Demand) map[string]float64 {
	total := make(map[string]float64)
	for _, r := range rows {
		total[r.Account] += r.Slots
	}
	return total
}

func weightOf(weights map[string]float64, id string) float64 {
	if w := weights[id]; w > 0 {
		return w
	}
	return 1
}

// maxMinFair divides slots among accounts by weighted max-min fairness: no
// account gets more than its demand while another has less than its demand.
func maxMinFair(demand, weights map[string]float64, slots float64) map[string]float64 {
	granted := make(map[string]float64)
	unsatisfiedAccounts := make(map[string]bool)
	for id, n := range demand {
		if n > 0 {
			unsatisfiedAccounts[id] = true
		}
	}
	for len(unsatisfiedAccounts) > 0 && slots > 0 {
		sum := 0.0
		for id := range unsatisfiedAccounts {
			sum += weightOf(weights, id)
		}
		level := slots / sum
		for id := range unsatisfiedAccounts {
			if demand[id] <= level*weightOf(weights, id) {
				granted[id] = demand[id]
			}
		}
		satisfiedSlots := 0.0
		count := 0
		for id := range granted {
			if unsatisfiedAccounts[id] {
				delete(unsatisfiedAccounts, id)
				satisfiedSlots += granted[id]
				count++
			}
		}
		slots -= satisfiedSlots
		if count > 0 {
			continue
		}
		for id := range unsatisfiedAccounts {
			granted[id] = level * weightOf(weights, id)
		}
		break
	}
	return granted
}

func localWeights(self string, rows []Demand, weights, granted map[string]float64, slots float64, members int) map[string]float64 {
	sum := 0.0
	for id := range weights {
		sum += weightOf(weights, id)
	}
	own := make(map[string]float64)
	for _, r := range rows {
		if r.VM == self {
			own[r.Account] += r.Slots
		}
	}
	total := totalDemand(rows)
	local := make(map[string]float64)
	for id := range weights {
		fair := slots * weightOf(weights, id) / sum
		part := (own[id] + idleDemand) / (total[id] + idleDemand*float64(members))
		local[id] = math.Max(granted[id], fair) * part
	}
	return local
}

// smoothingWeight is the weight of the latest demand in the smoothed demand.
const smoothingWeight = 0.25

// Smooth returns the demand to report, given the one reported before, so that
// slots do not move with every request. Without a previous demand it returns
// the current one.
func Smooth(previous, current float64) float64 {
	if previous == 0 {
		return current
	}
	return previous + smoothingWeight*(current-previous)
}

// SlotPosition returns the position of a runner's slot in the unit interval. It
// is the same on every VM.
func SlotPosition(runner string, slot int) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(runner))
	_, _ = h.Write([]byte{'/'})
	_, _ = h.Write([]byte(strconv.Itoa(slot)))
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// SettleRounds is the number of consecutive divisions that must assign a slot
// to a VM before the VM uses it, so that the former owner has received the
// change.
const SettleRounds = 3

// History has the latest divisions, at most SettleRounds of them. The zero
// value owns no slot.
type History struct {
	divisions []Division
}

// Add adds a division.
func (h *History) Add(d Division) {
	h.divisions = append(h.divisions, d)
	if len(h.divisions) > SettleRounds {
		h.divisions = h.divisions[1:]
	}
}

// Weights returns the weights of the accounts in the latest division.
func (h *History) Weights() map[string]float64 {
	if len(h.divisions) == 0 {
		return nil
	}
	return h.divisions[len(h.divisions)-1].Weights
}

// Owned returns the number of a runner's slots that all divisions in the
// history assign to the VM.
func (h *History) Owned(runner string, slots int) int {
	if len(h.divisions) == 0 {
		return 0
	}
	low, high := 0.0, 1.0
	for _, d := range h.divisions {
		low, high = math.Max(low, d.Low), math.Min(high, d.High)
	}
	n := 0
	for slot := range slots {
		if p := SlotPosition(runner, slot); low <= p && p < high {
			n++
		}
	}
	return n
}

const (
	// foreignShare is the share of a runner's connections that the VMs of other
	// data centres have together.
	foreignShare = 0.25
	// ForeignConnections is the number of connections from a VM to a runner of
	// another data centre.
	ForeignConnections = 2
)

// LocalConnections returns the number of connections that each of n VMs of the
// runner's data centre may open. It leaves connections for VMs that n does not
// count yet.
func LocalConnections(connections, n int) int {
	own := float64(connections) * (1 - foreignShare)
	return max(1, int(own)/(n+1))
}

// MayConnectForeign reports whether a VM is among the VMs of other data centres
// that may open connections to a runner.
func MayConnectForeign(runner string, connections int, self string, foreign []string) bool {
	allowed := int(float64(connections)*foreignShare) / (2 * ForeignConnections)
	own := foreignRank(runner, self)
	precedingVMs := 0
	for _, vm := range foreign {
		if vm != self && foreignRank(runner, vm) < own {
			precedingVMs++
		}
	}
	return precedingVMs < allowed
}

func foreignRank(runner, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(runner + "/" + vm))
	return mix(h.Sum64())
}
