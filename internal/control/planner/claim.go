package planner

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

// claimGraceLeases is the time, in leases, that the owner of a job's claim has
// to show the outcome of the job.
const claimGraceLeases = 2

// endedElsewhereError reports that a job's claim records a final state.
type endedElsewhereError struct{ state job.State }

// Error returns a message that names the state.
func (e *endedElsewhereError) Error() string { return "the job is recorded as " + string(e.state) }

// claimKey returns the key of the claim for a job's attempts.
func claimKey(id string) string { return "job/" + id }

// claim ensures that no other planner starts a job that must not start twice.
// It reuses a claim that an earlier attempt did not use.
func (t *term) claim(ctx context.Context, e *entry, a *attempt) error {
	t.mu.Lock()
	owned := a.rec.Idempotent || e.ticket != nil
	t.mu.Unlock()
	if owned {
		return nil
	}
	if t.p.Claims == nil {
		return fault.New(fault.NotReady, "no service for at-most-once claims is configured")
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

// recordClaimFailure counts a failed claim. When another planner may have
// started the job, it also triggers a reload of the persisted records. t.mu
// must be held.
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

// resolveClaim records the final state of a job with its claim, or abandons the
// claim when the job was never started.
func (t *term) resolveClaim(ctx context.Context, ticket *claim.Ticket, rec job.Record, mayHaveStarted bool) {
	if !mayHaveStarted {
		t.p.Claims.Abandon(ctx, ticket)
		return
	}
	t.p.Claims.Finish(ctx, ticket, []byte(rec.State))
}
