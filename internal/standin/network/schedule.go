package network

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

// Shape describes a random schedule.
type Shape struct {
	// VMs is the number of VMs of the data centre.
	VMs int
	// Keys is the number of idempotency keys. If Homeless is set, the last one has no
	// home data centre.
	Keys     int
	Homeless bool
	// Actions is the number of actions.
	Actions int
	// Step bounds the time between two actions.
	Step time.Duration
	// Faults holds the probabilities of lost and late calls.
	Faults Rates
	// Weights holds the relative frequencies of the kinds of action.
	Weights Weights
}

// Weights holds the relative frequencies of the kinds of action.
type Weights struct {
	Submit, Cut, Outage, Pause, Restart, Replace, Leave int
}

// Send is one sending of a key's request to a target.
type Send struct {
	Key   string
	Token string
	VM    string
	At    time.Duration
}

// History records what happened during a schedule.
type History struct {
	mu sync.Mutex
	// Sends lists the sends in their order.
	Sends []Send
	// Abandoned holds the tokens of tickets that were abandoned without a send.
	Abandoned map[string]bool
	// WrongResults lists the keys whose recorded result is not that of one of their sends.
	WrongResults []string
	// Kinds counts the submissions by the kind of their error.
	Kinds map[fault.Kind]int
	// Detached counts the sends under detached claims.
	Detached int
}

// SentTwice returns the keys that were sent more than once.
func (h *History) SentTwice() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := make(map[string]int)
	var twice []string
	for _, s := range h.Sends {
		sent[s.Key]++
		if sent[s.Key] == 2 {
			twice = append(twice, s.Key)
		}
	}
	return twice
}

// SentAbandoned returns the tokens that were sent although they were abandoned.
func (h *History) SentAbandoned() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for _, s := range h.Sends {
		if h.Abandoned[s.Token] {
			all = append(all, s.Token)
		}
	}
	return all
}

// schedule runs the random actions of one seed.
type schedule struct {
	shape     Shape
	rng       *rand.Rand
	fleet     *Fleet
	vmIDs     []string
	lastVM    int
	startedAt time.Time
	history   *History
}

const (
	settleDuration   = 15 * time.Second
	recoveryDuration = 2 * time.Minute
	submitTimeout    = 8 * time.Second
	maxSendDelay     = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	leaveTimeout     = 5 * time.Second
)

// Run runs the schedule of a seed in the caller's synctest bubble, then heals all
// faults and waits for the recovery. It returns the history and the fleet, which
// still runs.
func Run(seed uint64, shape Shape, onStart func(m *claim.Member)) (*History, *Fleet) {
	s := &schedule{
		shape: shape, rng: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(),
		fleet:   &Fleet{Network: &Network{Seed: seed}, OnStart: onStart},
		history: &History{Abandoned: make(map[string]bool), Kinds: make(map[fault.Kind]int)},
	}
	for range shape.VMs {
		s.addVM()
	}
	for _, id := range s.vmIDs {
		s.fleet.SetListed(id, true)
		s.fleet.Start(id)
	}
	time.Sleep(settleDuration)
	s.fleet.Network.SetRates(shape.Faults)
	for range shape.Actions {
		time.Sleep(time.Duration(s.rng.Int64N(int64(shape.Step))))
		s.runAction()
	}
	time.Sleep(settleDuration)
	s.fleet.Network.Heal()
	time.Sleep(recoveryDuration)
	return s.history, s.fleet
}

func (s *schedule) addVM() {
	s.lastVM++
	s.vmIDs = append(s.vmIDs, fmt.Sprintf("vm%d", s.lastVM))
}

func (s *schedule) randomVM() string { return s.vmIDs[s.rng.IntN(len(s.vmIDs))] }

// runAction runs one random action.
func (s *schedule) runAction() {
	w := s.shape.Weights
	n := s.rng.IntN(w.Submit + w.Cut + w.Outage + w.Pause + w.Restart + w.Replace + w.Leave)
	switch {
	case n < w.Submit:
		s.submit()
	case n < w.Submit+w.Cut:
		s.cut(s.randomVM(), s.randomVM())
	case n < w.Submit+w.Cut+w.Outage:
		s.outage()
	case n < w.Submit+w.Cut+w.Outage+w.Pause:
		s.pause()
	case n < w.Submit+w.Cut+w.Outage+w.Pause+w.Restart:
		s.fleet.Start(s.randomVM())
	case n < w.Submit+w.Cut+w.Outage+w.Pause+w.Restart+w.Replace:
		s.replace()
	default:
		s.leave()
	}
}

func (s *schedule) randomFaultDuration() time.Duration {
	return time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
}

func (s *schedule) cut(a, b string) {
	if a == b {
		return
	}
	d := s.randomFaultDuration()
	s.fleet.Network.Cut(a, b, true)
	time.AfterFunc(d, func() { s.fleet.Network.Cut(a, b, false) })
}

// outage cuts one VM, or all VMs, off from the store.
func (s *schedule) outage() {
	d := s.randomFaultDuration()
	ids := []string{s.randomVM()}
	if s.rng.IntN(2) == 0 {
		ids = append([]string(nil), s.vmIDs...)
	}
	for _, id := range ids {
		s.fleet.Network.CutStore(id, true)
		time.AfterFunc(d, func() { s.fleet.Network.CutStore(id, false) })
	}
}

func (s *schedule) pause() {
	id, d := s.randomVM(), s.randomFaultDuration()
	s.fleet.Network.Pause(id)
	time.AfterFunc(d, func() { s.fleet.Network.Continue(id) })
}

// leave runs a planned stop of a VM and starts the VM again.
func (s *schedule) leave() {
	id := s.randomVM()
	v := s.fleet.VM(id)
	go func() {
		ctx, cancel := context.WithTimeout(v.Context(), leaveTimeout)
		v.Roster.HandOver(ctx)
		_ = v.Roster.Leave(ctx, func(ctx context.Context) bool {
			v.Ledger.QueueCopies()
			return v.Ledger.Flush(ctx)
		})
		cancel()
		if v.Alive() {
			s.fleet.Start(id)
		}
	}()
}

func (s *schedule) replace() {
	i := s.rng.IntN(len(s.vmIDs))
	old := s.vmIDs[i]
	s.addVM()
	s.vmIDs[i] = s.vmIDs[len(s.vmIDs)-1]
	s.vmIDs = s.vmIDs[:len(s.vmIDs)-1]
	s.fleet.Network.Continue(old)
	s.fleet.Replace(old, s.vmIDs[i])
}

// submit submits a key at a VM. The random choices for its ticket are made here, so
// that the schedule does not depend on the order of goroutines.
func (s *schedule) submit() {
	v := s.fleet.VM(s.randomVM())
	n := s.rng.IntN(s.shape.Keys)
	r := Request(fmt.Sprintf("key%d", n))
	if s.shape.Homeless && n == s.shape.Keys-1 {
		r.Home = ""
	}
	sendDelay := time.Duration(s.rng.Int64N(int64(maxSendDelay)))
	ending := s.rng.IntN(8)
	go s.runSubmission(v, r, sendDelay, ending)
}

// Request returns the request of a key whose home is the fleet's data centre.
func Request(key string) claim.Request {
	digest := sha256.Sum256([]byte(key))
	return claim.Request{Account: "counters", Key: key, Home: DataCentre, Digest: digest[:]}
}

func (s *schedule) runSubmission(v *VM, r claim.Request, sendDelay time.Duration, ending int) {
	ctx, cancel := context.WithTimeout(v.Context(), submitTimeout)
	defer cancel()
	t, recorded, err := v.Ledger.Claim(ctx, r)
	s.recordOutcome(r, recorded, err)
	if t == nil {
		return
	}
	time.Sleep(sendDelay)
	s.fleet.Network.WaitWhilePaused(v.ID)
	if !v.Alive() {
		return
	}
	if ending == 0 {
		s.recordAbandoned(t)
		v.Ledger.Abandon(ctx, t)
		return
	}
	s.recordSend(Send{Key: r.Key, Token: t.Record.GetToken(), VM: v.Incarnation, At: time.Since(s.startedAt)}, t.Revision == 0)
	if ending > 2 {
		v.Ledger.Finish(ctx, t, []byte(t.Record.GetToken()))
	}
}

func (s *schedule) recordAbandoned(t *claim.Ticket) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.Abandoned[t.Record.GetToken()] = true
}

func (s *schedule) recordSend(send Send, detached bool) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.Sends = append(s.history.Sends, send)
	if detached {
		s.history.Detached++
	}
}

// recordOutcome counts the outcome of a submission and checks a recorded result.
func (s *schedule) recordOutcome(r claim.Request, recorded *claim.RecordedResult, err error) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.Kinds[fault.KindOf(err)]++
	if recorded == nil {
		return
	}
	for _, send := range s.history.Sends {
		if send.Key == r.Key && send.Token == string(recorded.Result) {
			return
		}
	}
	s.history.WrongResults = append(s.history.WrongResults, r.Key)
}
