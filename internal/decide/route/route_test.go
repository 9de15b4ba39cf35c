package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
)

type pickCase struct {
	Name    string         `json:"name"`
	Runners []route.Runner `json:"runners"`
	WaitMS  int64          `json:"wait_ms"`
	Bytes   int            `json:"bytes"`
	Tried   []string       `json:"tried"`
	Probe   bool           `json:"probe"`
	// Want is the id of the chosen runner, empty for none.
	Want string `json:"want"`
}

func TestPick(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("testdata/pick.json")
	is.NoErr(err)
	var cases []pickCase
	is.NoErr(jsonhttp.DecodeBytes(b, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.Runners {
				c.Runners[i].Service = "rota"
			}
			need := route.Requirements{
				Service: "rota", LocalWait: time.Duration(c.WaitMS) * time.Millisecond, Bytes: c.Bytes,
				Tried: make(map[string]bool), MayProbe: c.Probe,
			}
			for _, id := range c.Tried {
				need.Tried[id] = true
			}
			got := ""
			if i := route.Pick(c.Runners, route.Location{DataCentre: "u1", Region: "u"}, need); i >= 0 {
				got = c.Runners[i].ID
			}
			is.Equal(got, c.Want)
		})
	}
}

// TestEverySlotHasOneOwner divides random demand among VMs that have the same
// rows and checks that every slot has exactly one owner.
func TestEverySlotHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []string
		var rows []route.Demand
		for i := range rapid.IntRange(1, 8).Draw(t, "vms") {
			members = append(members, fmt.Sprintf("vm%d", i))
			for _, a := range []string{"a", "b"} {
				rows = append(rows, route.Demand{VM: members[i], Account: a, Slots: rapid.Float64Range(0, 1000).Draw(t, "demand")})
			}
		}
		weights := map[string]float64{"a": 300, "b": 100}
		owned := make(map[string]int)
		for _, vm := range members {
			var h route.History
			h.Add(route.Divide(vm, members, rows, weights, 400))
			for r := range 50 {
				owned[fmt.Sprint(r)] += h.Owned(fmt.Sprintf("r%d", r), 8)
			}
		}
		for r, n := range owned {
			if n != 8 {
				t.Fatalf("runner %s has %d owned slots", r, n)
			}
		}
	})
}

func TestDivisionFollowsDemand(t *testing.T) {
	is := is.New(t)
	rows := []route.Demand{{"x", "a", 1000}, {"x", "b", 500}, {"y", "b", 500}}
	weights := map[string]float64{"a": 200, "b": 200}
	d := route.Divide("x", []string{"x", "y"}, rows, weights, 400)
	is.True(math.Abs(d.High-d.Low-0.75) < 0.02) // a's 200 slots and half of b's
	is.True(d.Weights["a"] > 1.9*d.Weights["b"])
}

// TestNewSlotsWaitForSettleRounds checks that a VM uses a new slot only after
// SettleRounds divisions assigned it, and releases a slot at once.
func TestNewSlotsWaitForSettleRounds(t *testing.T) {
	is := is.New(t)
	var h route.History
	is.Equal(h.Owned("r1", 8), 0)
	h.Add(route.Division{Low: 0, High: 0.5})
	few := h.Owned("r1", 800)
	for range route.SettleRounds - 1 {
		h.Add(route.Division{Low: 0, High: 1})
		is.Equal(h.Owned("r1", 800), few)
	}
	h.Add(route.Division{Low: 0, High: 1})
	is.Equal(h.Owned("r1", 800), 800)
	h.Add(route.Division{Low: 0, High: 0.1})
	is.True(h.Owned("r1", 800) < few)
}

// TestConnectionLimitWhileVMsJoin checks that the VMs stay within a runner's
// connection limit while one joins that not all others have counted yet.
func TestConnectionLimitWhileVMsJoin(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 30; n++ {
		joining := n*route.LocalConnections(64, n) + route.LocalConnections(64, n+1)
		var foreign []string
		crossing := 0
		for i := range 21 {
			foreign = append(foreign, fmt.Sprintf("f%d", i))
		}
		for _, vm := range foreign {
			if route.MayConnectForeign("r1", 64, vm, foreign) {
				crossing += route.ForeignConnections
			}
		}
		is.True(joining+crossing <= 64)
		is.True(crossing > 0)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	last := time.Duration(0)
	for range 1000 {
		next := route.Backoff(last, r)
		is.True(next >= route.MinBackoff && next <= route.MaxBackoff)
		is.True(next <= max(3*last, 2*route.MinBackoff))
		last = next
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b route.Budget
	taken := 0
	for range 1000 {
		if b.Spend() {
			taken++
		}
	}
	is.True(taken < 10) // without successes, retries end
	for range 100 {
		b.AddSuccess(0.1)
	}
	more := 0
	for b.Spend() {
		more++
	}
	is.True(more >= 9 && more <= 10)
}
