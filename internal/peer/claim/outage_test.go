package claim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/network"
)

// startFleet starts three VMs and waits until they are in their roster.
func startFleet() *network.Fleet {
	f := &network.Fleet{Network: &network.Network{Seed: 1}}
	for _, id := range []string{"a", "b", "c"} {
		f.SetListed(id, true)
		f.Start(id)
	}
	time.Sleep(time.Minute)
	return f
}

func closeFleet(f *network.Fleet) {
	f.Close()
	time.Sleep(time.Minute)
}

// storedByState returns the number of claims in the store by their state.
func storedByState(f *network.Fleet) map[peerv1.ClaimState]int {
	all := make(map[peerv1.ClaimState]int)
	for _, e := range f.Network.Entries(claim.Prefix) {
		var rec peerv1.ClaimRecord
		if err := proto.Unmarshal(e.Value, &rec); err != nil {
			panic(err)
		}
		all[rec.GetState()]++
	}
	return all
}

// The store is unavailable for six hours while a key is claimed every 5 s. All
// claims must succeed. After the outage the store must have every result, and a
// retry at another VM must return it unchanged.
func TestClaimsDuringLongOutage(t *testing.T) {
	const keys = 6 * 3600 / 5
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet()
		defer closeFleet(f)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			f.Network.CutStore(id, true)
		}
		ctx := context.Background()
		for n := range keys {
			v := f.VM(ids[n%len(ids)])
			ticket, _, err := v.Ledger.Claim(ctx, network.Request(fmt.Sprint(n)))
			is.NoErr(err)
			v.Ledger.Finish(ctx, ticket, fmt.Append(nil, "result ", n))
			time.Sleep(5 * time.Second)
		}
		f.Network.Heal()
		time.Sleep(5 * time.Minute)
		is.Equal(storedByState(f)[peerv1.ClaimState_CLAIM_STATE_DONE], keys)
		for n := range 9 {
			_, recorded, err := f.VM(ids[(n+1)%len(ids)]).Ledger.Claim(ctx, network.Request(fmt.Sprint(n)))
			is.NoErr(err)
			is.Equal(string(recorded.Result), fmt.Sprint("result ", n))
		}
	})
}

func TestOversizedResultIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet()
		defer closeFleet(f)
		ctx := context.Background()
		ticket, _, err := f.VM("a").Ledger.Claim(ctx, network.Request("k"))
		is.NoErr(err)
		f.VM("a").Ledger.Finish(ctx, ticket, make([]byte, claim.MaxResultBytes+1))
		time.Sleep(time.Minute)
		for _, id := range []string{"a", "b"} {
			_, _, err = f.VM(id).Ledger.Claim(ctx, network.Request("k"))
			is.Equal(fmt.Sprint(err), "the request ran; its result was not kept")
		}
		other := network.Request("k")
		other.Digest = []byte("of another request")
		_, _, err = f.VM("b").Ledger.Claim(ctx, other)
		is.Equal(fmt.Sprint(err), "Idempotency-Key: was used for another request")
	})
}

func TestSweepDeletesOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet()
		defer closeFleet(f)
		v := f.VM("a")
		claimAll := func(prefix string, n int) {
			for i := range n {
				_, _, err := v.Ledger.Claim(context.Background(), network.Request(fmt.Sprint(prefix, i)))
				is.NoErr(err)
			}
		}
		claimAll("old", 700) // more than a page
		time.Sleep(20 * time.Hour)
		claimAll("new", 5)
		s := claim.Sweeper{
			KV: &network.Store{Network: f.Network, VM: "a", Timeout: time.Second}, Member: v.Member, Meter: &meter.Meter{},
			Retention: func() time.Duration { return 24 * time.Hour }, ShouldSweep: func() bool { return true },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Hour)
		defer cancel()
		s.Run(ctx)
		is.Equal(len(f.Network.Entries(claim.Prefix)), 5)
		is.Equal(s.Meter.Count("claim_deleted"), int64(700))
		is.Equal(v.Member.Expire(time.Time{}), 5) // the members' memory must not keep the older keys either
	})
}

// An attempt that fails because one member does not respond leaves copies of
// its claim at the other members. The same key must be claimable later, both at
// the VM that made the attempt and at another VM, with the store available and
// unavailable.
func TestKeyIsClaimableAfterFailedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet()
		defer closeFleet(f)
		setStore := func(cut bool) {
			for _, id := range []string{"a", "b", "c"} {
				f.Network.CutStore(id, cut)
			}
			time.Sleep(2 * time.Second)
		}
		first := f.VM("a").Member.View().Members
		coordinator, cutOff := f.VM(first[0].GetVmId()), first[2].GetVmId()
		other := f.VM(first[1].GetVmId())
		for n, up := range []bool{false, true} {
			for i, v := range []*network.VM{coordinator, other} {
				r := network.Request(fmt.Sprint("key", n, i))
				setStore(true)
				f.Network.Cut(coordinator.ID, cutOff, true)
				_, _, err := coordinator.Ledger.Claim(context.Background(), r)
				is.True(err != nil)
				f.Network.Cut(coordinator.ID, cutOff, false)
				setStore(!up)
				ticket, _, err := v.Ledger.Claim(context.Background(), r)
				is.NoErr(err)
				is.True(ticket != nil)
			}
		}
	})
}
