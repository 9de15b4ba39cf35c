package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/forward"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/members"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/roster"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/record"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// homeServices are the components that manage the idempotency keys whose home is
// this data centre.
type homeServices struct {
	member      *claim.Member
	claimLedger *claim.Ledger
	roster      *roster.Manager
	records     *record.FallbackStore
	router      *forward.Router
	sweeper     *claim.Sweeper
}

// newHomeServices returns the components. The caller must set the router's local
// dispatcher, which does not exist yet.
func (d *Daemon) newHomeServices() *homeServices {
	h := &homeServices{member: &claim.Member{Self: d.self}}
	calls := &members.Client{Peers: d.gossip}
	h.roster = &roster.Manager{
		Self: d.self, Member: h.member, KV: d.store, Peers: calls, Meter: d.meter, Log: d.log,
		NewToken: uuid.NewString,
		Horizon:  func() time.Duration { return d.configManager.Current().Document.Defaults.RetryHorizon.Duration },
	}
	h.claimLedger = &claim.Ledger{
		Self: d.self, KV: d.store, Meter: d.meter, NewToken: uuid.NewString, Member: h.member, Peers: calls,
		Find:    d.gossip.VMByID,
		Refresh: func(ctx context.Context) { _ = h.roster.Refresh(ctx) },
	}
	h.roster.OnEvict = h.claimLedger.QueueOrphans
	h.records = &record.FallbackStore{
		Store: &record.Records{KV: d.store}, Meter: d.meter,
		Holder: &claim.RecordReplicator{Member: h.member, Peers: calls, Meter: d.meter},
	}
	h.router = &forward.Router{
		Self: d.self, Home: d.homeOf, Peers: d.gossip, Meter: d.meter,
		Listed: func() bool { return h.member.View().Listed },
	}
	h.sweeper = &claim.Sweeper{
		KV: d.store, Member: h.member, Meter: d.meter, ShouldSweep: h.isFirstMember,
		Retention: func() time.Duration { return d.configManager.Current().Document.Defaults.ClaimRetention.Duration },
	}
	return h
}

// run starts the background tasks; they end when ctx is done.
func (h *homeServices) run(ctx context.Context) {
	go h.roster.Run(ctx)
	go h.claimLedger.Run(ctx)
	go h.records.Run(ctx)
	go h.sweeper.Run(ctx)
}

// isFirstMember reports whether this VM is the first member of its roster.
func (h *homeServices) isFirstMember() bool {
	all := h.member.View().Members
	return len(all) > 0 && all[0].GetIncarnation() == h.member.Self.GetIncarnation()
}

// fillRoster adds the roster state to a heartbeat.
func (h *homeServices) fillRoster(hb *peerv1.HeartbeatRequest) {
	hb.RosterVersion = h.member.RosterVersion()
	hb.ProvenDead = h.roster.ProvenDead()
}

// handleRoster applies the roster state in a heartbeat from the same data centre.
func (h *homeServices) handleRoster(hb *peerv1.HeartbeatRequest) {
	if hb.GetFrom().GetDataCentre() == h.member.Self.GetDataCentre() {
		h.roster.ApplyHeartbeat(hb.GetProvenDead(), hb.GetRosterVersion())
	}
}

// leave hands over this VM's claims and records to the other members, writes
// pending ones to the store, and leaves the roster.
func (h *homeServices) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	h.roster.HandOver(ctx)
	_ = h.claimLedger.Flush(ctx) && h.records.Flush(ctx)
	_ = h.roster.Leave(ctx, func(ctx context.Context) bool {
		h.claimLedger.QueueCopies()
		return h.claimLedger.Flush(ctx) && h.records.Flush(ctx)
	})
}

const leaveTimeout = 5 * time.Second

// homeOf returns the data centre that claims the idempotency key of a request;
// empty when the request needs no claim.
func (d *Daemon) homeOf(r dispatch.Request) string {
	head := d.configManager.Current()
	kind, ok := head.Document.KindNamed(r.Kind)
	if !ok || kind.Idempotent || r.Key == "" {
		return ""
	}
	if r.Home != "" {
		return r.Home
	}
	account, _ := head.Document.AccountNamed(r.Account)
	return account.Home
}

const (
	listRetryDelay = 500 * time.Millisecond
	maxListDelay   = 10 * time.Second
)

// watchTargets follows the platform's VM list by long polls.
func (d *Daemon) watchTargets(ctx context.Context) {
	backoff := store.Backoff{Min: listRetryDelay, Max: maxListDelay}
	var after uint64
	for ctx.Err() == nil {
		a, err := d.vms.Watch(ctx, after)
		if err != nil {
			d.meter.Inc("vmlist_error")
			if d.vmList.Load() == nil {
				d.fetchVMListFromPeers(ctx)
			}
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		if a.Revision == after {
			continue
		}
		after = a.Revision
		d.applyVMList(a)
	}
}

// applyVMList passes the list of entry VMs to the roster.
func (h *homeServices) applyVMList(a vmlist.ListAnswer) {
	list := roster.List{Revision: a.Revision, Present: make(map[string]bool)}
	for _, vm := range a.VMs {
		if vm.Role == vmlist.Entry {
			list.Present[vm.ID] = true
		}
	}
	h.roster.SetList(list)
}
