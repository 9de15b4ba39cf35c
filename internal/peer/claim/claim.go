// Package claim ensures that a non-idempotent request is sent at most once. A
// VM claims the request's idempotency key before it sends the request. A claim
// is attached when the store holds it, and detached when every member of the
// home data centre's roster holds a copy of it because the store is
// unavailable.
package claim

import (
	"bytes"
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// MaxResultBytes bounds the size of a recorded result, in bytes.
const MaxResultBytes = 64 << 10

// Prefix is the prefix of the store keys of all claims.
const Prefix = "claims/"

// Time limits and retry limits of the claim protocol.
const (
	// storeTimeout bounds a claim in the store when the key can be claimed with
	// the roster members instead.
	storeTimeout = 400 * time.Millisecond
	// storeSuspectDuration is how long claims skip the store after the store
	// failed to serve a claim.
	storeSuspectDuration = time.Second
	// peerTimeout bounds one call to another VM.
	peerTimeout = time.Second
	// retryDelay is the delay before the first retry. It doubles with each
	// further retry up to maxDelay.
	retryDelay = 20 * time.Millisecond
	maxDelay   = time.Second
	// maxAttempts bounds the attempts at one key that has a home data centre.
	maxAttempts = 4
)

// Request identifies the request whose key is claimed.
type Request struct {
	Account string
	Key     string
	// Home is the data centre whose VMs may claim the key. It is empty when any
	// VM may; the key is then claimed in the store only.
	Home string
	// Digest is the SHA-256 of the request. A key must not be reused for a
	// request with another digest.
	Digest []byte
}

// Ticket is a claim that allows this VM to send the request. The caller must
// call exactly one of Finish and Abandon with it.
type Ticket struct {
	Record *peerv1.ClaimRecord
	// Revision is the revision of the claim in the store, or 0 for a detached
	// claim.
	Revision uint64
}

// RecordedResult is the result of an earlier submission with the same key.
type RecordedResult struct {
	Result []byte
}

// KV is the part of the store's interface that claims need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
}

// Peers calls the claim methods of other VMs.
type Peers interface {
	Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (*peerv1.QueryClaimResponse, error)
}

// Ledger claims keys on behalf of this VM. Its exported fields must be set before
// use. Without a Member, keys are claimed in the store only.
type Ledger struct {
	Self  *peerv1.Vm
	KV    KV
	Meter *meter.Meter
	// NewToken returns a fencing token that was never used before.
	NewToken func() string
	// Member is the state of this VM as a member of its data centre's roster.
	Member *Member
	Peers  Peers
	// Find returns the VM with the given id, or nil when it is unknown.
	Find func(vmID string) *peerv1.Vm
	// Refresh reads the roster from the store, after a member rejected an
	// outdated roster version.
	Refresh func(ctx context.Context)

	once         sync.Once
	mu           sync.Mutex
	suspectUntil time.Time
	unwritten    map[claimKey]*Ticket
	// queue lists the keys of unwritten in the order in which they were added.
	// It may also contain keys that are already written.
	queue []claimKey
	wake  chan struct{}
}

// StoreKey returns the store key of a claim.
func StoreKey(account, key string) string {
	return Prefix + url.PathEscape(account) + "/" + url.PathEscape(key)
}

func (l *Ledger) init() {
	l.once.Do(func() {
		if l.Member == nil {
			l.Member = &Member{Self: l.Self}
		}
		l.unwritten = make(map[claimKey]*Ticket)
		l.wake = make(chan struct{}, 1)
	})
}

// attempt is one attempt to claim a key. Each attempt has its own token.
type attempt struct {
	req Request
	rec *peerv1.ClaimRecord
	// replaces lists the tokens of claims that their owners abandoned.
	replaces []string
	// maybeWritten is set when the store may contain the attempt, or a write of
	// it may still take effect.
	maybeWritten bool
}

// Claim claims a key. It returns a ticket when the caller may send the request,
// or the recorded result of an earlier submission. Otherwise it returns an
// error whose kind shows whether the request may have run.
func (l *Ledger) Claim(ctx context.Context, r Request) (*Ticket, *RecordedResult, error) {
	l.init()
	if err := l.checkHome(r); err != nil {
		return nil, nil, err
	}
	var replaces []string
	delay := retryDelay
	for n := 1; ; n++ {
		t, recorded, retry, err := l.attemptClaim(ctx, r, replaces)
		if retry == nil {
			return t, recorded, err
		}
		replaces = append(replaces, retry.replaces...)
		last := r.Home != "" && n >= maxAttempts
		if last || !pause.For(ctx, delay) {
			return nil, nil, err
		}
		l.Meter.Inc("claim_retry_" + retry.reason)
		delay = min(2*delay, maxDelay)
	}
}

// checkHome returns an error when this VM may not claim the key of a request.
func (l *Ledger) checkHome(r Request) error {
	if r.Home == "" {
		return nil
	}
	if r.Home != l.Self.GetDataCentre() {
		return fault.New(fault.HomeUnreachable, "only %s claims the key", r.Home)
	}
	v := l.Member.View()
	if !v.Listed {
		return fault.New(fault.NotReady, "this VM has not joined the roster of %s yet", r.Home)
	}
	if time.Now().Before(v.RefuseUntil) {
		return fault.New(fault.RetryHorizon, "all members of the roster failed; keys are refused until %s, because earlier claims may be unknown", v.RefuseUntil.UTC().Format(time.RFC3339))
	}
	return nil
}

// retryCause describes why another attempt may succeed.
type retryCause struct {
	reason   string
	replaces []string
}

// attemptClaim makes one attempt. When another attempt may succeed, it returns
// a retryCause and the error to return if there is no further attempt.
func (l *Ledger) attemptClaim(ctx context.Context, r Request, replaces []string) (*Ticket, *RecordedResult, *retryCause, error) {
	a := l.newAttempt(r, replaces)
	conflict, full := l.Member.Begin(a.rec, replaces, time.Now())
	if full {
		return nil, nil, nil, fault.New(fault.Overloaded, "this VM already has the maximum number of claims")
	}
	if conflict != nil {
		return l.resolveConflict(ctx, r, conflict)
	}
	a.replaces = append(a.replaces, l.Member.AbandonedTokens(r.Account, r.Key)...)
	if r.Home != "" && l.storeSuspect() {
		return l.claimWithMembers(ctx, a)
	}
	t, recorded, retry, err := l.claimInStore(ctx, a)
	if retry == nil || retry.reason != retryReasonStore || r.Home == "" {
		return t, recorded, retry, err
	}
	l.markStoreSuspect()
	// The store may still apply the write of the attached attempt, so the
	// detached attempt gets a token of its own.
	a = l.newAttempt(r, replaces)
	if conflict, full = l.Member.Begin(a.rec, replaces, time.Now()); conflict != nil || full {
		return nil, nil, &retryCause{reason: RefusedConflict}, err
	}
	a.replaces = append(a.replaces, l.Member.AbandonedTokens(r.Account, r.Key)...)
	return l.claimWithMembers(ctx, a)
}

func (l *Ledger) newAttempt(r Request, replaces []string) *attempt {
	token := l.NewToken()
	if l.Member.disabled.noTokens {
		token = l.Self.GetIncarnation()
	}
	return &attempt{req: r, replaces: append([]string(nil), replaces...), rec: &peerv1.ClaimRecord{
		ClientAccount: r.Account, Key: r.Key, Home: r.Home,
		VmId: l.Self.GetVmId(), Incarnation: l.Self.GetIncarnation(), Token: token,
		State: peerv1.ClaimState_CLAIM_STATE_PENDING, ClaimedUnixMs: time.Now().UnixMilli(),
		RequestDigest: r.Digest,
	}}
}

// abandonAttempt abandons an attempt whose request was not sent.
func (l *Ledger) abandonAttempt(a *attempt) {
	a.rec.State = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	l.Member.Finalize(a.rec, time.Now())
}

// resolveConflict queries the state of a conflicting claim. It returns the
// claim's result when there is one, a retryCause when the claim was abandoned,
// and otherwise an error saying that the request may have run.
func (l *Ledger) resolveConflict(ctx context.Context, r Request, c *peerv1.ClaimRecord) (*Ticket, *RecordedResult, *retryCause, error) {
	if !bytes.Equal(c.GetRequestDigest(), r.Digest) {
		return nil, nil, nil, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another request")
	}
	mayHaveRun := fault.New(fault.ClaimedElsewhere, "VM %s claimed the key", c.GetVmId())
	report := l.queryOwner(ctx, c)
	switch report.state {
	case peerv1.ClaimState_CLAIM_STATE_ABANDONED:
		replaces := append([]string{c.GetToken()}, report.abandoned...)
		return nil, nil, &retryCause{reason: "abandoned", replaces: replaces}, mayHaveRun
	case peerv1.ClaimState_CLAIM_STATE_DONE:
		return l.recordedResult(ctx, report.latest)
	}
	return nil, nil, nil, mayHaveRun
}

// ownerReport is what the owner of a claim reports about the key.
type ownerReport struct {
	// state is the strongest claim state that the owner has recorded.
	state  peerv1.ClaimState
	latest *peerv1.ClaimRecord
	// abandoned lists the tokens of the owner's abandoned attempts.
	abandoned []string
}

// queryOwner queries the owner of a claim for the strongest state that it has
// recorded for the key. Only the incarnation that made the claim can report
// that the claim was abandoned; the report is empty when another incarnation
// responds.
func (l *Ledger) queryOwner(ctx context.Context, c *peerv1.ClaimRecord) ownerReport {
	if c.GetIncarnation() == l.Self.GetIncarnation() {
		state, latest := l.Member.AttemptState(c)
		return ownerReport{state: state, latest: latest}
	}
	resp := l.queryVM(ctx, c.GetVmId(), c)
	if resp.GetIncarnation() != c.GetIncarnation() {
		return ownerReport{}
	}
	report := ownerReport{state: resp.GetState(), latest: resp.GetClaim(), abandoned: resp.GetAbandoned()}
	if report.state == peerv1.ClaimState_CLAIM_STATE_HELD && l.abandonedByOwner(ctx, resp.GetClaim()) {
		report.state = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	return report
}

// abandonedByOwner reports whether the owner of c abandoned it. It is called if
// a queried VM reports a copy of another VM's claim c. A VM accepts such a copy
// only after it abandoned its own claim, so the state that c's owner has recorded
// decides.
func (l *Ledger) abandonedByOwner(ctx context.Context, c *peerv1.ClaimRecord) bool {
	var state peerv1.ClaimState
	if c.GetIncarnation() == l.Self.GetIncarnation() {
		state, _ = l.Member.AttemptState(c)
	} else if resp := l.queryVM(ctx, c.GetVmId(), c); resp.GetIncarnation() == c.GetIncarnation() {
		state = resp.GetState()
	}
	return state == peerv1.ClaimState_CLAIM_STATE_ABANDONED
}

func (l *Ledger) queryVM(ctx context.Context, vmID string, c *peerv1.ClaimRecord) *peerv1.QueryClaimResponse {
	if l.Peers == nil || l.Find == nil {
		return nil
	}
	vm := l.Find(vmID)
	if vm == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	l.Meter.Inc("claim_message")
	in := &peerv1.QueryClaimRequest{ClientAccount: c.GetClientAccount(), Key: c.GetKey(), Token: c.GetToken()}
	resp, err := l.Peers.QueryClaim(ctx, vm, in)
	if err != nil {
		l.Meter.Inc("claim_query_lost")
		return nil
	}
	return resp
}

// recordedResult returns the result recorded with a claim. It reads the claim
// from the store when this VM no longer has the result in memory.
func (l *Ledger) recordedResult(ctx context.Context, c *peerv1.ClaimRecord) (*Ticket, *RecordedResult, *retryCause, error) {
	if c.GetResultKept() && c.GetResult() == nil {
		stored, err := l.load(ctx, c)
		if err != nil {
			return nil, nil, nil, fault.Wrap(fault.ClaimedElsewhere, err, "the request ran; its result cannot be read now")
		}
		c = stored
	}
	if !c.GetResultKept() {
		return nil, nil, nil, fault.New(fault.ResultNotKept, "the request ran; its result was not kept")
	}
	l.Meter.Inc("claim_result_returned")
	return nil, &RecordedResult{Result: c.GetResult()}, nil, nil
}

func (l *Ledger) storeSuspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspectUntil)
}

func (l *Ledger) markStoreSuspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil = time.Now().Add(storeSuspectDuration)
}
