// Package claim makes sure that a non-idempotent request is sent at most once:
// before the send, its key is claimed. A claim is attached when the store holds
// it and detached when every member of the home's roster holds it.
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

// MaxResultBytes bounds the size of a recorded result.
const MaxResultBytes = 64 << 10

// Prefix begins the store's keys of all claims.
const Prefix = "claims/"

// Times of the protocol.
const (
	// storeTimeout bounds the attached attempt of a key that could be claimed
	// detached instead.
	storeTimeout = 400 * time.Millisecond
	// suspectTime is how long claims go detached after the store failed one.
	suspectTime = time.Second
	// peerTimeout bounds one call to a member.
	peerTimeout = time.Second
	// retryDelay is the first delay between two attempts; it doubles.
	retryDelay = 20 * time.Millisecond
	maxDelay   = time.Second
	// maxAttempts bounds the attempts at one key whose former claims were
	// abandoned.
	maxAttempts = 4
)

// Request identifies what is to be claimed.
type Request struct {
	Account string
	Key     string
	// Home is the data centre that claims the key; empty for none.
	Home string
	// Digest is the SHA-256 of the request; a key serves one request only.
	Digest []byte
}

// Ticket is a claim that this VM holds. It is spent by exactly one of Finish
// and Abandon.
type Ticket struct {
	Record *peerv1.ClaimRecord
	// Revision is the store's revision of the claim, 0 for a detached one.
	Revision uint64
}

// Recorded is the result of an earlier submission with the same key.
type Recorded struct {
	Result []byte
}

// KV is the part of the store that claims need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
}

// Peers calls other members.
type Peers interface {
	Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (*peerv1.QueryClaimResponse, error)
}

// Book claims keys for this VM. Its fields are set before use. A Book without a
// Member claims in the store only.
type Book struct {
	Self  *peerv1.Vm
	KV    KV
	Meter *meter.Meter
	// NewToken returns a token that was never used before.
	NewToken func() string
	// Member is this VM's place in its data centre's roster.
	Member *Member
	Peers  Peers
	// Find returns the VM of an id as its peers know it, nil when unknown.
	Find func(vmID string) *peerv1.Vm
	// Refresh reads the roster again after a member refused an older version.
	Refresh func(ctx context.Context)

	once    sync.Once
	mu      sync.Mutex
	suspect time.Time
	dirty   map[id]*Ticket
	// queue holds the keys of dirty in their order; it may hold more.
	queue []id
	wake  chan struct{}
}

// StoreKey returns the store's key of a claim.
func StoreKey(account, key string) string {
	return Prefix + url.PathEscape(account) + "/" + url.PathEscape(key)
}

func (b *Book) init() {
	b.once.Do(func() {
		if b.Member == nil {
			b.Member = &Member{Self: b.Self}
		}
		b.dirty = make(map[id]*Ticket)
		b.wake = make(chan struct{}, 1)
	})
}

// attempt is one attempt at a key. Its token is fresh.
type attempt struct {
	req Request
	rec *peerv1.ClaimRecord
	// replaces are the tokens that their owners abandoned.
	replaces []string
	// maybeWritten says that the store may hold the attempt, now or later.
	maybeWritten bool
}

// Claim claims a key. It returns either a ticket or a recorded result, or an
// error whose kind tells whether the request may have run.
func (b *Book) Claim(ctx context.Context, r Request) (*Ticket, *Recorded, error) {
	b.init()
	if err := b.admit(r); err != nil {
		return nil, nil, err
	}
	var replaces []string
	delay := retryDelay
	for n := 1; ; n++ {
		t, recorded, again, err := b.try(ctx, r, replaces)
		if again == nil {
			return t, recorded, err
		}
		replaces = append(replaces, again.replaces...)
		last := r.Home != "" && n >= maxAttempts
		if last || !pause.For(ctx, delay) {
			return nil, nil, err
		}
		b.Meter.Inc("claim_retry_" + again.reason)
		delay = min(2*delay, maxDelay)
	}
}

// admit refuses keys that this VM may not claim.
func (b *Book) admit(r Request) error {
	if r.Home == "" {
		return nil
	}
	if r.Home != b.Self.GetDataCentre() {
		return fault.New(fault.HomeUnreachable, "only %s claims the key", r.Home)
	}
	v := b.Member.View()
	if !v.Listed {
		return fault.New(fault.NotReady, "this VM is not in the roster of %s yet", r.Home)
	}
	if time.Now().Before(v.RefuseUntil) {
		return fault.New(fault.RetryHorizon, "claims of a lost roster are unknown until %s", v.RefuseUntil.UTC().Format(time.RFC3339))
	}
	return nil
}

// retry says why another attempt may succeed.
type retry struct {
	reason   string
	replaces []string
}

// try makes one attempt. When another one may succeed it returns a retry and
// the error to give up with.
func (b *Book) try(ctx context.Context, r Request, replaces []string) (*Ticket, *Recorded, *retry, error) {
	a := b.newAttempt(r, replaces)
	conflict, full := b.Member.Begin(a.rec, replaces, time.Now())
	if full {
		return nil, nil, nil, fault.New(fault.Overloaded, "too many claims are kept")
	}
	if conflict != nil {
		return b.settle(ctx, r, conflict)
	}
	a.replaces = append(a.replaces, b.Member.Past(r.Account, r.Key)...)
	if r.Home != "" && b.storeSuspect() {
		return b.detached(ctx, a)
	}
	t, recorded, again, err := b.attached(ctx, a)
	if again == nil || again.reason != retryStore || r.Home == "" {
		return t, recorded, again, err
	}
	b.suspectStore()
	// The write of the attached attempt may still take effect: the detached
	// one is an attempt of its own.
	a = b.newAttempt(r, replaces)
	if conflict, full = b.Member.Begin(a.rec, replaces, time.Now()); conflict != nil || full {
		return nil, nil, &retry{reason: RefusedConflict}, err
	}
	a.replaces = append(a.replaces, b.Member.Past(r.Account, r.Key)...)
	return b.detached(ctx, a)
}

func (b *Book) newAttempt(r Request, replaces []string) *attempt {
	token := b.NewToken()
	if b.Member.off.noTokens {
		token = b.Self.GetIncarnation()
	}
	return &attempt{req: r, replaces: append([]string(nil), replaces...), rec: &peerv1.ClaimRecord{
		ClientAccount: r.Account, Key: r.Key, Home: r.Home,
		VmId: b.Self.GetVmId(), Incarnation: b.Self.GetIncarnation(), Token: token,
		State: peerv1.ClaimState_CLAIM_STATE_PENDING, ClaimedUnixMs: time.Now().UnixMilli(),
		RequestDigest: r.Digest,
	}}
}

// drop abandons an attempt that was not sent.
func (b *Book) drop(a *attempt) {
	a.rec.State = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	b.Member.End(a.rec, time.Now())
}

// settle finds out what became of a conflicting claim: its result, that it may
// have been sent, or that it was abandoned and another attempt may succeed.
func (b *Book) settle(ctx context.Context, r Request, c *peerv1.ClaimRecord) (*Ticket, *Recorded, *retry, error) {
	if !bytes.Equal(c.GetRequestDigest(), r.Digest) {
		return nil, nil, nil, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another request")
	}
	mayHaveRun := fault.New(fault.ClaimedElsewhere, "VM %s claimed the key", c.GetVmId())
	w := b.ask(ctx, c)
	switch w.state {
	case peerv1.ClaimState_CLAIM_STATE_ABANDONED:
		replaces := append([]string{c.GetToken()}, w.abandoned...)
		return nil, nil, &retry{reason: "abandoned", replaces: replaces}, mayHaveRun
	case peerv1.ClaimState_CLAIM_STATE_DONE:
		return b.recorded(ctx, w.latest)
	}
	return nil, nil, nil, mayHaveRun
}

// word is what an owner says about its claim of a key.
type word struct {
	// state is the strongest that the owner knows.
	state  peerv1.ClaimState
	latest *peerv1.ClaimRecord
	// abandoned are the tokens of its abandoned attempts.
	abandoned []string
}

// ask asks a claim's owner for the strongest that it knows of the key. Only the
// incarnation that made the claim can say that it was abandoned.
func (b *Book) ask(ctx context.Context, c *peerv1.ClaimRecord) word {
	if c.GetIncarnation() == b.Self.GetIncarnation() {
		state, latest := b.Member.Fate(c)
		return word{state: state, latest: latest}
	}
	resp := b.query(ctx, c.GetVmId(), c)
	if resp.GetIncarnation() != c.GetIncarnation() {
		return word{}
	}
	w := word{state: resp.GetState(), latest: resp.GetClaim(), abandoned: resp.GetAbandoned()}
	if w.state == peerv1.ClaimState_CLAIM_STATE_HELD && b.thirdAbandoned(ctx, resp.GetClaim()) {
		w.state = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	return w
}

// thirdAbandoned asks the owner of a claim that the asked VM holds. A VM holds a
// claim for another only after it abandoned its own.
func (b *Book) thirdAbandoned(ctx context.Context, c *peerv1.ClaimRecord) bool {
	var state peerv1.ClaimState
	if c.GetIncarnation() == b.Self.GetIncarnation() {
		state, _ = b.Member.Fate(c)
	} else if resp := b.query(ctx, c.GetVmId(), c); resp.GetIncarnation() == c.GetIncarnation() {
		state = resp.GetState()
	}
	return state == peerv1.ClaimState_CLAIM_STATE_ABANDONED
}

func (b *Book) query(ctx context.Context, vmID string, c *peerv1.ClaimRecord) *peerv1.QueryClaimResponse {
	if b.Peers == nil || b.Find == nil {
		return nil
	}
	vm := b.Find(vmID)
	if vm == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	b.Meter.Inc("claim_message")
	in := &peerv1.QueryClaimRequest{ClientAccount: c.GetClientAccount(), Key: c.GetKey(), Token: c.GetToken()}
	resp, err := b.Peers.QueryClaim(ctx, vm, in)
	if err != nil {
		b.Meter.Inc("claim_query_lost")
		return nil
	}
	return resp
}

// recorded returns a recorded result. A result that the store holds is read
// from there.
func (b *Book) recorded(ctx context.Context, c *peerv1.ClaimRecord) (*Ticket, *Recorded, *retry, error) {
	if c.GetResultKept() && c.GetResult() == nil {
		kept, err := b.load(ctx, c)
		if err != nil {
			return nil, nil, nil, fault.Wrap(fault.ClaimedElsewhere, err, "the request ran; its result cannot be read now")
		}
		c = kept
	}
	if !c.GetResultKept() {
		return nil, nil, nil, fault.New(fault.ResultNotKept, "the request ran; its result was not kept")
	}
	b.Meter.Inc("claim_result_returned")
	return nil, &Recorded{Result: c.GetResult()}, nil, nil
}

func (b *Book) storeSuspect() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.suspect)
}

func (b *Book) suspectStore() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspect = time.Now().Add(suspectTime)
}
