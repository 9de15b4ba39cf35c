package claim

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Bounds of the memory that a member uses.
const (
	// DefaultLimit is the default maximum number of keys that a member stores.
	DefaultLimit = 200_000
	// maxResultsBytes bounds the total size of the results that wait for their
	// write to the store, in bytes.
	maxResultsBytes = 32 << 20
)

// Reasons why a member refuses to store a copy of a claim.
const (
	RefusedVersion  = "roster_version"
	RefusedConflict = "conflict"
	RefusedFull     = "full"
	// RefusedLeaving is the reason of a member that leaves the roster and is
	// handing over its claims.
	RefusedLeaving = "leaving"
	// RefusedSuccessor is the reason of a process that was restarted at the
	// address of the member that the call is meant for.
	RefusedSuccessor = "successor"
)

// guards lists the rules of the protocol. A set field disables a rule. Only
// tests set them, to show that the protocol fails without the rule.
type guards struct {
	noUnanimity bool
	noHandOver  bool
	noLoading   bool
	noSurvivor  bool
	noTokens    bool
	noVersion   bool
}

// claimKey identifies an idempotency key of a client account.
type claimKey struct{ account, key string }

func claimKeyOf(rec *peerv1.ClaimRecord) claimKey {
	return claimKey{rec.GetClientAccount(), rec.GetKey()}
}

// entry is the state that a member has for one key.
type entry struct {
	// own is the latest attempt of this incarnation, or nil when it made none.
	own *peerv1.ClaimRecord
	// abandonedTokens lists the tokens of earlier attempts of this incarnation,
	// all abandoned; at most the latest maxAbandonedTokens.
	abandonedTokens []string
	// copies lists the copies of claims of other VMs that their owners have not
	// abandoned as far as this member has been notified. There may be several:
	// an abandoned claim whose abandonment has not been reported must not hide
	// the claim that was sent.
	copies []*peerv1.ClaimRecord
	// changedAt is the time of the entry's last change.
	changedAt time.Time
}

// Member is the state of the claim protocol at one VM. It does no I/O and does
// not read the clock, so the same sequence of calls always leads to the same
// state. It is safe for concurrent use.
type Member struct {
	// Self is this VM. Its incarnation must not change.
	Self *peerv1.Vm
	// Limit is the maximum number of keys; 0 means DefaultLimit.
	Limit int

	disabled guards

	mu           sync.Mutex
	entries      map[claimKey]*entry
	recordCopies map[string]*peerv1.HeldRecord
	dead         map[string]bool // incarnations that are proven dead
	// version is the highest roster version that this member accepted. It is
	// the version of roster or, once a joiner was acknowledged, the next
	// version.
	version uint64
	roster  *peerv1.Roster
	joiner  *peerv1.Vm
	// handedOver contains the incarnations that handed over their claims when
	// they left. They make no further claims.
	handedOver map[string]bool
	closed     bool
	// resultBytes is the total size of the results in entries, in bytes.
	resultBytes int
}

// View is the state of the roster as one member has it.
type View struct {
	// Version is the roster version that this member sends with its own claims.
	Version uint64
	// Members lists the members in the order in which they are called. It
	// includes an acknowledged joiner even before the roster shows it as a
	// member.
	Members []*peerv1.Vm
	// Listed reports that this VM is in the roster.
	Listed bool
	// Current reports that this member has the roster of Version.
	Current bool
	// Joining reports that a joiner was acknowledged that the roster does not
	// show as a member yet.
	Joining bool
	// RefuseUntil is the end of the retry horizon: keys are refused until then.
	RefuseUntil time.Time
}

// View returns the current view of the roster.
func (m *Member) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := View{Version: m.version, RefuseUntil: time.UnixMilli(m.roster.GetRefuseUntilUnixMs())}
	for _, vm := range m.roster.GetMembers() {
		if !m.handedOver[vm.GetIncarnation()] {
			v.Members = append(v.Members, vm)
		}
	}
	v.Listed = hasMember(m.roster, m.Self.GetIncarnation())
	v.Current = m.version == m.roster.GetVersion()
	if m.joiner != nil && m.version == m.roster.GetVersion()+1 {
		if !m.handedOver[m.joiner.GetIncarnation()] {
			v.Members = append(v.Members, m.joiner)
		}
		v.Current, v.Joining = true, true
	}
	return v
}

// RosterVersion returns the version of the roster that was last read from the
// store.
func (m *Member) RosterVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.GetVersion()
}

func hasMember(r *peerv1.Roster, incarnation string) bool {
	for _, vm := range r.GetMembers() {
		if vm.GetIncarnation() == incarnation {
			return true
		}
	}
	return false
}

// Adopt applies a roster that was read from the store, unless it is older than
// the present one.
func (m *Member) Adopt(r *peerv1.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopt(r)
}

func (m *Member) adopt(r *peerv1.Roster) {
	if r.GetVersion() <= m.roster.GetVersion() {
		return
	}
	m.roster = proto.CloneOf(r)
	if r.GetVersion() >= m.version {
		m.version, m.joiner = r.GetVersion(), nil
	}
}

// BeginJoin records the version that the roster gets once this VM is a member,
// so that this VM accepts claims of members that already count it as one.
func (m *Member) BeginJoin(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, version)
}

// Acknowledge accepts the roster version of a joiner and returns the copies of
// all claims and records for it. It returns false when the call is meant for
// another incarnation, or when the version is not higher than this member's and
// the joiner was not acknowledged with it before.
func (m *Member) Acknowledge(in *peerv1.JoinRequest) ([]*peerv1.ClaimRecord, []*peerv1.HeldRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		return nil, nil, false
	}
	repeated := m.joiner.GetIncarnation() == in.GetJoiner().GetIncarnation() && in.GetRosterVersion() == m.version
	if in.GetRosterVersion() <= m.version && !repeated {
		return nil, nil, false
	}
	m.adopt(in.GetRoster())
	if !m.disabled.noVersion {
		m.version, m.joiner = in.GetRosterVersion(), in.GetJoiner()
	}
	m.addDead(in.GetProvenDead())
	return m.liveClaims(), m.allRecords(), true
}

// liveClaims returns every live claim, without its result: own attempts and
// copies of other VMs' claims.
func (m *Member) liveClaims() []*peerv1.ClaimRecord {
	if m.disabled.noHandOver {
		return nil
	}
	var all []*peerv1.ClaimRecord
	for _, e := range m.entries {
		if isLive(e.own) {
			all = append(all, withoutResult(e.own))
		}
		all = append(all, e.copies...)
	}
	return sortByToken(all)
}

// sortByToken sorts claims by their tokens, so that the order does not depend
// on map iteration.
func sortByToken(all []*peerv1.ClaimRecord) []*peerv1.ClaimRecord {
	sort.Slice(all, func(i, j int) bool { return all[i].GetToken() < all[j].GetToken() })
	return all
}

func withoutResult(rec *peerv1.ClaimRecord) *peerv1.ClaimRecord {
	c := proto.CloneOf(rec)
	c.Result, c.ResultKept = nil, false
	return c
}

func isLive(rec *peerv1.ClaimRecord) bool {
	switch rec.GetState() {
	case peerv1.ClaimState_CLAIM_STATE_HELD, peerv1.ClaimState_CLAIM_STATE_PENDING,
		peerv1.ClaimState_CLAIM_STATE_SENT, peerv1.ClaimState_CLAIM_STATE_DONE:
		return true
	}
	return false
}

// StoreCopies stores copies of claims that another member handed over.
func (m *Member) StoreCopies(records []*peerv1.ClaimRecord, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		m.storeCopy(rec, now)
	}
}

// StoreLoaded stores copies of the live claims read from the store whose owners
// are not among the living members. It returns their number.
func (m *Member) StoreLoaded(records []*peerv1.ClaimRecord, home string, living []*peerv1.Vm, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disabled.noLoading {
		return 0
	}
	alive := make(map[string]bool)
	for _, vm := range living {
		alive[vm.GetIncarnation()] = true
	}
	n := 0
	for _, rec := range records {
		if rec.GetHome() == home && isLive(rec) && !alive[rec.GetIncarnation()] {
			m.storeCopy(withoutResult(rec), now)
			n++
		}
	}
	return n
}

func (m *Member) storeCopy(rec *peerv1.ClaimRecord, now time.Time) {
	if rec.GetIncarnation() == m.Self.GetIncarnation() {
		return
	}
	e := m.entry(claimKeyOf(rec))
	for _, c := range e.copies {
		if c.GetToken() == rec.GetToken() {
			return
		}
	}
	rec = proto.CloneOf(rec)
	rec.State = peerv1.ClaimState_CLAIM_STATE_HELD
	e.copies = append(e.copies, rec)
	e.changedAt = now
}

func (m *Member) entry(k claimKey) *entry {
	if m.entries == nil {
		m.entries = make(map[claimKey]*entry)
	}
	e, ok := m.entries[k]
	if !ok {
		e = &entry{}
		m.entries[k] = e
	}
	return e
}

func (m *Member) atLimit(k claimKey) bool {
	limit := m.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	_, known := m.entries[k]
	return !known && len(m.entries) >= limit
}

// conflict returns a live claim with a token other than the given one, or nil:
// this VM's own attempt if it is live, otherwise a copy whose token is not in
// replaces.
func (e *entry) conflict(token string, replaces []string) *peerv1.ClaimRecord {
	if isLive(e.own) && e.own.GetToken() != token {
		return e.own
	}
	for _, c := range e.copies {
		if c.GetToken() != token && !containsToken(replaces, c.GetToken()) {
			return c
		}
	}
	return nil
}

func containsToken(tokens []string, token string) bool {
	for _, t := range tokens {
		if t == token {
			return true
		}
	}
	return false
}

// removeCopies removes the copies of claims that their owners abandoned.
func (e *entry) removeCopies(tokens []string) {
	left := e.copies[:0]
	for _, c := range e.copies {
		if !containsToken(tokens, c.GetToken()) {
			left = append(left, c)
		}
	}
	e.copies = left
}

// Grant handles the request of another member to store a copy of its claim.
// Whether this member can reach the store makes no difference.
func (m *Member) Grant(in *peerv1.ClaimRequest, now time.Time) *peerv1.ClaimResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec := in.GetClaim()
	resp := &peerv1.ClaimResponse{RosterVersion: m.version}
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		resp.Reason = RefusedSuccessor
		return resp
	}
	if in.GetRosterVersion() < m.version && !m.disabled.noVersion {
		resp.Reason = RefusedVersion
		return resp
	}
	if m.closed {
		resp.Reason = RefusedLeaving
		return resp
	}
	if m.atLimit(claimKeyOf(rec)) {
		resp.Reason = RefusedFull
		return resp
	}
	e := m.entry(claimKeyOf(rec))
	if c := e.conflict(rec.GetToken(), in.GetReplaces()); c != nil {
		resp.Reason, resp.Conflict = RefusedConflict, withoutResult(c)
		return resp
	}
	e.removeCopies(in.GetReplaces())
	m.storeCopy(rec, now)
	resp.Granted = true
	return resp
}

// Begin starts an attempt of this VM, unless this member has a live claim of
// the key; it then returns that claim. It reports full when this member has
// reached its limit of keys or was closed.
func (m *Member) Begin(rec *peerv1.ClaimRecord, replaces []string, now time.Time) (conflict *peerv1.ClaimRecord, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.atLimit(claimKeyOf(rec)) {
		return nil, true
	}
	e := m.entry(claimKeyOf(rec))
	if c := e.conflict(rec.GetToken(), replaces); c != nil {
		return proto.CloneOf(c), false
	}
	e.removeCopies(replaces)
	e.recordAbandoned()
	e.own = proto.CloneOf(rec)
	e.own.State = peerv1.ClaimState_CLAIM_STATE_PENDING
	e.changedAt = now
	return nil, false
}

// maxAbandonedTokens bounds the tokens of abandoned attempts stored for one key.
const maxAbandonedTokens = 32

// recordAbandoned records the latest attempt, if there is one, as abandoned.
func (e *entry) recordAbandoned() {
	if e.own == nil {
		return
	}
	e.abandonedTokens = append(e.abandonedTokens, e.own.GetToken())
	if len(e.abandonedTokens) > maxAbandonedTokens {
		e.abandonedTokens = e.abandonedTokens[1:]
	}
}

// AbandonedTokens returns the tokens of this VM's abandoned attempts at a key.
func (m *Member) AbandonedTokens(account, key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[claimKey{account, key}]
	if !ok {
		return nil
	}
	abandonedTokens := append([]string(nil), e.abandonedTokens...)
	if e.own != nil && !isLive(e.own) {
		abandonedTokens = append(abandonedTokens, e.own.GetToken())
	}
	return abandonedTokens
}

// MarkSent marks an attempt as sent; it must be called before the request is
// sent. For a detached attempt, version is the roster version of the claim, and
// MarkSent returns false when this member has accepted a higher version since.
// For an attached attempt, version is 0.
func (m *Member) MarkSent(rec *peerv1.ClaimRecord, version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry(claimKeyOf(rec))
	if m.closed || e.own.GetToken() != rec.GetToken() || e.own.GetState() != peerv1.ClaimState_CLAIM_STATE_PENDING {
		return false
	}
	if version != 0 && version != m.version && !m.disabled.noVersion {
		return false
	}
	e.own.State = peerv1.ClaimState_CLAIM_STATE_SENT
	return true
}

// Finalize sets the final state of an attempt: done or abandoned.
func (m *Member) Finalize(rec *peerv1.ClaimRecord, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry(claimKeyOf(rec))
	if e.own.GetToken() != rec.GetToken() {
		return
	}
	m.resultBytes -= len(e.own.GetResult())
	e.own = proto.CloneOf(rec)
	if m.resultBytes+len(rec.GetResult()) > maxResultsBytes {
		e.own.Result, e.own.ResultKept = nil, false
	}
	m.resultBytes += len(e.own.GetResult())
	e.changedAt = now
}

// DropResult removes the result of an attempt from memory once the store holds
// it.
func (m *Member) DropResult(rec *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[claimKeyOf(rec)]
	if !ok || e.own.GetToken() != rec.GetToken() {
		return
	}
	m.resultBytes -= len(e.own.GetResult())
	e.own.Result = nil
}

// Query returns the strongest state that this member has for a key, and the
// claim with that state.
func (m *Member) Query(account, key string) (peerv1.ClaimState, *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[claimKey{account, key}]
	switch {
	case !ok:
		return peerv1.ClaimState_CLAIM_STATE_NOTHING, nil
	case isLive(e.own):
		return e.own.GetState(), proto.CloneOf(e.own)
	case len(e.copies) > 0:
		return peerv1.ClaimState_CLAIM_STATE_HELD, proto.CloneOf(e.copies[0])
	}
	return peerv1.ClaimState_CLAIM_STATE_ABANDONED, proto.CloneOf(e.own)
}

// AttemptState returns the state of an attempt of this VM. Attempts before the
// latest one were abandoned, because a new one begins only after that.
func (m *Member) AttemptState(rec *peerv1.ClaimRecord) (peerv1.ClaimState, *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[claimKeyOf(rec)]
	switch {
	case !ok:
		return peerv1.ClaimState_CLAIM_STATE_NOTHING, nil
	case e.own == nil:
		return peerv1.ClaimState_CLAIM_STATE_NOTHING, nil
	case e.own.GetToken() == rec.GetToken():
		return e.own.GetState(), proto.CloneOf(e.own)
	}
	return peerv1.ClaimState_CLAIM_STATE_ABANDONED, nil
}

// Orphans returns the copies of claims whose owners are proven dead.
func (m *Member) Orphans() []*peerv1.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copiesIf(func(owner string) bool { return m.dead[owner] })
}

// AllCopies returns the copies of all claims of other VMs.
func (m *Member) AllCopies() []*peerv1.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copiesIf(func(string) bool { return true })
}

// copiesIf returns the claim copies whose owners satisfy wanted. The caller
// must hold m.mu.
func (m *Member) copiesIf(wanted func(owner string) bool) []*peerv1.ClaimRecord {
	var all []*peerv1.ClaimRecord
	for _, e := range m.entries {
		for _, c := range e.copies {
			if wanted(c.GetIncarnation()) {
				all = append(all, proto.CloneOf(c))
			}
		}
	}
	return sortByToken(all)
}

// Expire removes the keys that have not changed since the given time, and
// returns the number of keys left.
func (m *Member) Expire(before time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, e := range m.entries {
		if e.changedAt.Before(before) {
			m.resultBytes -= len(e.own.GetResult())
			delete(m.entries, k)
		}
	}
	return len(m.entries)
}

// AddDead records incarnations that are proven dead.
func (m *Member) AddDead(incarnations []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addDead(incarnations)
}

func (m *Member) addDead(incarnations []string) {
	if m.dead == nil {
		m.dead = make(map[string]bool)
	}
	for _, inc := range incarnations {
		if inc != m.Self.GetIncarnation() {
			m.dead[inc] = true
		}
	}
}

// Dead reports whether an incarnation is proven dead.
func (m *Member) Dead(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead[incarnation]
}

// Close stops this member: it makes no more claims, sends none and accepts no
// more copies. It returns all claims and record copies that this VM has, for
// the hand-over to the other members.
func (m *Member) Close() ([]*peerv1.ClaimRecord, []*peerv1.HeldRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return m.liveClaims(), m.allRecords()
}

// AcceptHandOver stores the claims and records that a leaving member hands
// over. From then on the leaving member is not called about keys, because this
// VM has all its claims.
func (m *Member) AcceptHandOver(in *peerv1.LeaveRequest, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range in.GetClaims() {
		m.storeCopy(rec, now)
	}
	for _, rec := range in.GetRecords() {
		m.storeRecord(rec)
	}
	if m.handedOver == nil {
		m.handedOver = make(map[string]bool)
	}
	m.handedOver[in.GetFrom().GetIncarnation()] = true
	m.addDead([]string{in.GetFrom().GetIncarnation()})
}

// NeedsHorizon reports whether keys must be refused for a time after a roster
// change, because all members are proven dead and the claims that only they had
// are unknown.
func (m *Member) NeedsHorizon(listed, living int) bool {
	return listed > 0 && living == 0 && !m.disabled.noSurvivor
}

// AnswerQuery handles another VM's query for a key.
func (m *Member) AnswerQuery(in *peerv1.QueryClaimRequest) *peerv1.QueryClaimResponse {
	state, rec := m.Query(in.GetClientAccount(), in.GetKey())
	return &peerv1.QueryClaimResponse{
		State: state, Claim: rec, Incarnation: m.Self.GetIncarnation(),
		Abandoned: m.AbandonedTokens(in.GetClientAccount(), in.GetKey()),
	}
}
