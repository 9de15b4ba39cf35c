package claim

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Bounds of a member's memory.
const (
	// DefaultLimit bounds the keys that a member keeps.
	DefaultLimit = 200_000
	// maxResultsBytes bounds the results that wait for their write to the store.
	maxResultsBytes = 32 << 20
)

// Reasons why a member refuses to hold a claim.
const (
	RefusedVersion  = "roster_version"
	RefusedConflict = "conflict"
	RefusedFull     = "full"
	// RefusedLeaving is the answer of a member that hands over what it knows.
	RefusedLeaving = "leaving"
	// RefusedSuccessor is the answer of a process that was restarted at the
	// address of the member that is asked.
	RefusedSuccessor = "successor"
)

// guards names the rules of the protocol. A set field turns the rule off; only
// tests do that, to show that the rule is needed.
type guards struct {
	noUnanimity bool
	noHandOver  bool
	noLoading   bool
	noSurvivor  bool
	noTokens    bool
	noVersion   bool
}

// id is the identity of a key.
type id struct{ account, key string }

func idOf(rec *peerv1.ClaimRecord) id { return id{rec.GetClientAccount(), rec.GetKey()} }

// entry is what a member knows about one key.
type entry struct {
	// own is this incarnation's latest attempt; nil when it made none.
	own *peerv1.ClaimRecord
	// past are the tokens of this incarnation's abandoned attempts, the latest
	// maxPast of them.
	past []string
	// held are the claims held for others whose owners have not abandoned
	// them as far as this member knows. There may be several: one that was
	// abandoned unheard of does not hide the one that was sent.
	held []*peerv1.ClaimRecord
	// touched is when the entry last changed.
	touched time.Time
}

// Member is the state of the claim protocol at one VM. It does no I/O and reads
// no clock, so that equal calls lead to equal states. It is safe for concurrent
// use.
type Member struct {
	// Self is this VM; its incarnation never changes.
	Self *peerv1.Vm
	// Limit bounds the keys kept; DefaultLimit when 0.
	Limit int

	off guards

	mu      sync.Mutex
	entries map[id]*entry
	records map[string]*peerv1.HeldRecord
	dead    map[string]bool // by incarnation
	// version is the highest roster version that this member took; it is the
	// version of roster or, with a joiner acknowledged, the next one.
	version uint64
	roster  *peerv1.Roster
	joiner  *peerv1.Vm
	// excused holds the incarnations that handed over all they knew and claim
	// nothing any more.
	excused map[string]bool
	closed  bool
	// resultBytes is the size of the results kept in entries.
	resultBytes int
}

// View is a member's view of its roster.
type View struct {
	// Version is the version of the rounds that this member starts.
	Version uint64
	// Members are asked in this order. They include an acknowledged joiner
	// that is not yet known to be a member.
	Members []*peerv1.Vm
	// Listed says that this VM is in the roster.
	Listed bool
	// Current says that the roster of this version is known.
	Current bool
	// Joining says that a joiner was acknowledged that is not yet known to be
	// a member.
	Joining bool
	// RefuseUntil ends the retry horizon.
	RefuseUntil time.Time
}

// View returns this member's view.
func (m *Member) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := View{Version: m.version, RefuseUntil: time.UnixMilli(m.roster.GetRefuseUntilUnixMs())}
	for _, vm := range m.roster.GetMembers() {
		if !m.excused[vm.GetIncarnation()] {
			v.Members = append(v.Members, vm)
		}
	}
	v.Listed = contains(m.roster, m.Self.GetIncarnation())
	v.Current = m.version == m.roster.GetVersion()
	if m.joiner != nil && m.version == m.roster.GetVersion()+1 {
		if !m.excused[m.joiner.GetIncarnation()] {
			v.Members = append(v.Members, m.joiner)
		}
		v.Current, v.Joining = true, true
	}
	return v
}

// RosterVersion returns the version of the roster that was read last.
func (m *Member) RosterVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.GetVersion()
}

func contains(r *peerv1.Roster, incarnation string) bool {
	for _, vm := range r.GetMembers() {
		if vm.GetIncarnation() == incarnation {
			return true
		}
	}
	return false
}

// Adopt takes a roster that was read from the store.
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

// BeginJoin takes the version that the roster gets when this VM is in it, so
// that this VM holds claims of rounds that count it already.
func (m *Member) BeginJoin(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, version)
}

// Acknowledge takes a joiner's version and hands over all claims and records.
// It reports false when the version is not higher than this member's own.
func (m *Member) Acknowledge(in *peerv1.JoinRequest) ([]*peerv1.ClaimRecord, []*peerv1.HeldRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		return nil, nil, false
	}
	again := m.joiner.GetIncarnation() == in.GetJoiner().GetIncarnation() && in.GetRosterVersion() == m.version
	if in.GetRosterVersion() <= m.version && !again {
		return nil, nil, false
	}
	m.adopt(in.GetRoster())
	if !m.off.noVersion {
		m.version, m.joiner = in.GetRosterVersion(), in.GetJoiner()
	}
	m.addDead(in.GetProvenDead())
	return m.handOver(), m.heldRecords(), true
}

// handOver returns every claim that is held, sent or pending, without results.
func (m *Member) handOver() []*peerv1.ClaimRecord {
	if m.off.noHandOver {
		return nil
	}
	var all []*peerv1.ClaimRecord
	for _, e := range m.entries {
		if live(e.own) {
			all = append(all, withoutResult(e.own))
		}
		all = append(all, e.held...)
	}
	return sorted(all)
}

// sorted orders claims by their tokens.
func sorted(all []*peerv1.ClaimRecord) []*peerv1.ClaimRecord {
	sort.Slice(all, func(i, j int) bool { return all[i].GetToken() < all[j].GetToken() })
	return all
}

func withoutResult(rec *peerv1.ClaimRecord) *peerv1.ClaimRecord {
	c := proto.CloneOf(rec)
	c.Result, c.ResultKept = nil, false
	return c
}

func live(rec *peerv1.ClaimRecord) bool {
	switch rec.GetState() {
	case peerv1.ClaimState_CLAIM_STATE_HELD, peerv1.ClaimState_CLAIM_STATE_PENDING,
		peerv1.ClaimState_CLAIM_STATE_SENT, peerv1.ClaimState_CLAIM_STATE_DONE:
		return true
	}
	return false
}

// Hold takes claims that were handed over.
func (m *Member) Hold(records []*peerv1.ClaimRecord, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		m.hold(rec, now)
	}
}

// HoldLoaded takes the claims in the store whose owners are not among the
// living members. It reports how many it took.
func (m *Member) HoldLoaded(records []*peerv1.ClaimRecord, home string, living []*peerv1.Vm, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.off.noLoading {
		return 0
	}
	alive := make(map[string]bool)
	for _, vm := range living {
		alive[vm.GetIncarnation()] = true
	}
	n := 0
	for _, rec := range records {
		if rec.GetHome() == home && live(rec) && !alive[rec.GetIncarnation()] {
			m.hold(withoutResult(rec), now)
			n++
		}
	}
	return n
}

func (m *Member) hold(rec *peerv1.ClaimRecord, now time.Time) {
	if rec.GetIncarnation() == m.Self.GetIncarnation() {
		return
	}
	e := m.entry(idOf(rec))
	for _, h := range e.held {
		if h.GetToken() == rec.GetToken() {
			return
		}
	}
	rec = proto.CloneOf(rec)
	rec.State = peerv1.ClaimState_CLAIM_STATE_HELD
	e.held = append(e.held, rec)
	e.touched = now
}

func (m *Member) entry(k id) *entry {
	if m.entries == nil {
		m.entries = make(map[id]*entry)
	}
	e, ok := m.entries[k]
	if !ok {
		e = &entry{}
		m.entries[k] = e
	}
	return e
}

func (m *Member) full(k id) bool {
	limit := m.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	_, known := m.entries[k]
	return !known && len(m.entries) >= limit
}

// conflict returns the strongest live claim other than that of a token.
func (e *entry) conflict(token string, replaces []string) *peerv1.ClaimRecord {
	if live(e.own) && e.own.GetToken() != token {
		return e.own
	}
	for _, h := range e.held {
		if h.GetToken() != token && !oneOf(replaces, h.GetToken()) {
			return h
		}
	}
	return nil
}

func oneOf(tokens []string, token string) bool {
	for _, t := range tokens {
		if t == token {
			return true
		}
	}
	return false
}

// drop forgets held claims whose owners abandoned them.
func (e *entry) drop(tokens []string) {
	kept := e.held[:0]
	for _, h := range e.held {
		if !oneOf(tokens, h.GetToken()) {
			kept = append(kept, h)
		}
	}
	e.held = kept
}

// Grant answers a round's request to hold a claim. Whether this member reaches
// the store makes no difference.
func (m *Member) Grant(in *peerv1.ClaimRequest, now time.Time) *peerv1.ClaimResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec := in.GetClaim()
	resp := &peerv1.ClaimResponse{RosterVersion: m.version}
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		resp.Reason = RefusedSuccessor
		return resp
	}
	if in.GetRosterVersion() < m.version && !m.off.noVersion {
		resp.Reason = RefusedVersion
		return resp
	}
	if m.closed {
		resp.Reason = RefusedLeaving
		return resp
	}
	if m.full(idOf(rec)) {
		resp.Reason = RefusedFull
		return resp
	}
	e := m.entry(idOf(rec))
	if c := e.conflict(rec.GetToken(), in.GetReplaces()); c != nil {
		resp.Reason, resp.Conflict = RefusedConflict, withoutResult(c)
		return resp
	}
	e.drop(in.GetReplaces())
	m.hold(rec, now)
	resp.Granted = true
	return resp
}

// Begin starts an attempt of this VM unless it knows a live claim of the key;
// then it returns that claim.
func (m *Member) Begin(rec *peerv1.ClaimRecord, replaces []string, now time.Time) (conflict *peerv1.ClaimRecord, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.full(idOf(rec)) {
		return nil, true
	}
	e := m.entry(idOf(rec))
	if c := e.conflict(rec.GetToken(), replaces); c != nil {
		return proto.CloneOf(c), false
	}
	e.drop(replaces)
	e.forgo()
	e.own = proto.CloneOf(rec)
	e.own.State = peerv1.ClaimState_CLAIM_STATE_PENDING
	e.touched = now
	return nil, false
}

// maxPast bounds the tokens of abandoned attempts that are kept for a key.
const maxPast = 32

// forgo notes that the latest attempt was abandoned, if there was one.
func (e *entry) forgo() {
	if e.own == nil {
		return
	}
	e.past = append(e.past, e.own.GetToken())
	if len(e.past) > maxPast {
		e.past = e.past[1:]
	}
}

// Past returns the tokens of this VM's abandoned attempts at a key.
func (m *Member) Past(account, key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id{account, key}]
	if !ok {
		return nil
	}
	past := append([]string(nil), e.past...)
	if e.own != nil && !live(e.own) {
		past = append(past, e.own.GetToken())
	}
	return past
}

// Send marks an attempt as one that may be sent. For a detached attempt version
// is the version of its round, and Send reports false when this member has
// taken a higher one since; for an attached one version is 0.
func (m *Member) Send(rec *peerv1.ClaimRecord, version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry(idOf(rec))
	if m.closed || e.own.GetToken() != rec.GetToken() || e.own.GetState() != peerv1.ClaimState_CLAIM_STATE_PENDING {
		return false
	}
	if version != 0 && version != m.version && !m.off.noVersion {
		return false
	}
	e.own.State = peerv1.ClaimState_CLAIM_STATE_SENT
	return true
}

// End sets the final state of an attempt: done or abandoned.
func (m *Member) End(rec *peerv1.ClaimRecord, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry(idOf(rec))
	if e.own.GetToken() != rec.GetToken() {
		return
	}
	m.resultBytes -= len(e.own.GetResult())
	e.own = proto.CloneOf(rec)
	if m.resultBytes+len(rec.GetResult()) > maxResultsBytes {
		e.own.Result, e.own.ResultKept = nil, false
	}
	m.resultBytes += len(e.own.GetResult())
	e.touched = now
}

// DropResult forgets the result of an attempt that the store holds.
func (m *Member) DropResult(rec *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[idOf(rec)]
	if !ok || e.own.GetToken() != rec.GetToken() {
		return
	}
	m.resultBytes -= len(e.own.GetResult())
	e.own.Result = nil
}

// Query returns the strongest that this member knows about a key.
func (m *Member) Query(account, key string) (peerv1.ClaimState, *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id{account, key}]
	switch {
	case !ok:
		return peerv1.ClaimState_CLAIM_STATE_NOTHING, nil
	case live(e.own):
		return e.own.GetState(), proto.CloneOf(e.own)
	case len(e.held) > 0:
		return peerv1.ClaimState_CLAIM_STATE_HELD, proto.CloneOf(e.held[0])
	}
	return peerv1.ClaimState_CLAIM_STATE_ABANDONED, proto.CloneOf(e.own)
}

// Fate returns what became of an attempt of this VM. An attempt before the
// latest one was abandoned, since a new one begins only after that.
func (m *Member) Fate(rec *peerv1.ClaimRecord) (peerv1.ClaimState, *peerv1.ClaimRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[idOf(rec)]
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

// Orphans returns the held claims whose owners are proven dead.
func (m *Member) Orphans() []*peerv1.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldIf(func(owner string) bool { return m.dead[owner] })
}

// AllHeld returns all held claims.
func (m *Member) AllHeld() []*peerv1.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldIf(func(string) bool { return true })
}

// heldIf returns the held claims of some owners. m.mu is held.
func (m *Member) heldIf(wanted func(owner string) bool) []*peerv1.ClaimRecord {
	var all []*peerv1.ClaimRecord
	for _, e := range m.entries {
		for _, h := range e.held {
			if wanted(h.GetIncarnation()) {
				all = append(all, proto.CloneOf(h))
			}
		}
	}
	return sorted(all)
}

// Expire forgets what has not changed since a time, and returns how many keys
// are left.
func (m *Member) Expire(before time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, e := range m.entries {
		if e.touched.Before(before) {
			m.resultBytes -= len(e.own.GetResult())
			delete(m.entries, k)
		}
	}
	return len(m.entries)
}

// AddDead takes incarnations that are proven dead.
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

// Close ends the claims of this VM: from now on it neither sends nor holds any.
// It returns all that this VM knows.
func (m *Member) Close() ([]*peerv1.ClaimRecord, []*peerv1.HeldRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return m.handOver(), m.heldRecords()
}

// Excuse takes all that a leaving member knows; this VM's own check of a key
// then stands for that member's.
func (m *Member) Excuse(in *peerv1.LeaveRequest, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range in.GetClaims() {
		m.hold(rec, now)
	}
	for _, rec := range in.GetRecords() {
		m.holdRecord(rec)
	}
	if m.excused == nil {
		m.excused = make(map[string]bool)
	}
	m.excused[in.GetFrom().GetIncarnation()] = true
	m.addDead([]string{in.GetFrom().GetIncarnation()})
}

// NeedsHorizon reports whether keys must be refused for a time after a roster
// change: all members are proven dead, so that what they held is unknown.
func (m *Member) NeedsHorizon(listed, living int) bool {
	return listed > 0 && living == 0 && !m.off.noSurvivor
}

// AnswerQuery answers another VM's question about a key.
func (m *Member) AnswerQuery(in *peerv1.QueryClaimRequest) *peerv1.QueryClaimResponse {
	state, rec := m.Query(in.GetClientAccount(), in.GetKey())
	return &peerv1.QueryClaimResponse{
		State: state, Claim: rec, Incarnation: m.Self.GetIncarnation(),
		Abandoned: m.Past(in.GetClientAccount(), in.GetKey()),
	}
}
