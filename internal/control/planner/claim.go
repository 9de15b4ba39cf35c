package planner

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

// claimGraceLeases is the time, in leases, in which the owner of a job's
// claim may show what became of the job.
const claimGraceLeases = 2

// endedElsewhereError says that a job's claim records its end.
type endedElsewhereError struct{ state job.State }

// Error names the state.
func (e *endedElsewhereError) Error() string { return "the job is recorded as " + string(e.state) }

// claimKey is the key under which a job's attempts are claimed.
func claimKey(id string) string { return "job/" + id }

// claim makes sure that no other planner starts a job that must not start
// twice. A claim that was not used by an earlier attempt is used again.
func (t *term) claim(ctx context.Context, e *entry, a *attempt) error {
	t.mu.Lock()
	held := a.rec.Idempotent || e.ticket != nil
	t.mu.Unlock()
	if held {
		return nil
	}
	if t.p.Claims == nil {
		return fault.New(fault.NotReady, "no claims are served")
	}
	digest := sha256.Sum256([]byte(claimKey(a.rec.ID)))
	ticket, recorded, err := t.p.Claims.Claim(ctx, claim.Request{
		Account: a.rec.Account, Key: claimKey(a.rec.ID), Home: a.rec.DataCentre, Digest: digest[:],
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return t.recordClaimFailure(e, err)
	}
	if recorded != nil {
		state := job.State(recorded.Result)
		if !state.Final() {
			state = job.Unknown
		}
		return &endedElsewhereError{state: state}
	}
	e.ticket, e.claimRefusedAt = ticket, time.Time{}
	return nil
}

// recordClaimFailure counts a failed claim. When another planner may have started the
// job, the kept records are read soon. t.mu is held.
func (t *term) recordClaimFailure(e *entry, err error) error {
	t.p.Meter.Inc("gang_claim_" + string(fault.KindOf(err)))
	if fault.Lookup(fault.KindOf(err)).Outcome == fault.Unknown {
		if e.claimRefusedAt.IsZero() {
			e.claimRefusedAt = time.Now()
		}
		notify(t.wakeReload)
	}
	return err
}

// resolveClaim spends the claim of a job that has ended.
func (t *term) resolveClaim(ctx context.Context, ticket *claim.Ticket, rec job.Record, begun bool) {
	if !begun {
		t.p.Claims.Abandon(ctx, ticket)
		return
	}
	t.p.Claims.Finish(ctx, ticket, []byte(rec.State))
}
