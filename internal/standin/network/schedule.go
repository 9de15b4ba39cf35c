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

// Shape says what a random schedule is made of.
type Shape struct {
	// VMs is the number of VMs of the data centre.
	VMs int
	// Keys is the number of keys; the last one has no home when Homeless is set.
	Keys     int
	Homeless bool
	// Actions is the number of actions of the schedule.
	Actions int
	// Step is the longest time between two actions.
	Step time.Duration
	// Faults are the rates of lost and late calls.
	Faults Rates
	// Weights are the relative rates of the kinds of action.
	Weights Weights
}

// Weights are relative rates of actions.
type Weights struct {
	Submit, Cut, Outage, Pause, Restart, Replace, Leave int
}

// Send is one send of a key to a target.
type Send struct {
	Key   string
	Token string
	VM    string
	At    time.Duration
}

// History is what a schedule did.
type History struct {
	mu sync.Mutex
	// Sends are the sends in their order.
	Sends []Send
	// Abandoned holds the tokens of tickets that were given back unsent.
	Abandoned map[string]bool
	// Wrong lists recorded results that are not those of the key's send.
	Wrong []string
	// Kinds counts the ends of submissions.
	Kinds map[fault.Kind]int
	// Detached counts the sends under detached claims.
	Detached int
}

// Twice returns the keys that were sent more than once.
func (h *History) Twice() []string {
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

// SentAbandoned returns the tokens that were sent although they were given back.
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

// schedule runs the actions of one seed.
type schedule struct {
	shape Shape
	rng   *rand.Rand
	fleet *Fleet
	names []string
	next  int
	start time.Time
	h     *History
}

const (
	settleTime   = 15 * time.Second
	healTime     = 2 * time.Minute
	submitLimit  = 8 * time.Second
	maxSendDelay = 300 * time.Millisecond
	maxFaultTime = 6 * time.Second
	leaveTime    = 5 * time.Second
)

// Run runs the schedule of a seed in the caller's bubble of virtual time, then
// heals all faults. It returns the history and the fleet, which still runs.
func Run(seed uint64, shape Shape, onStart func(m *claim.Member)) (*History, *Fleet) {
	s := &schedule{
		shape: shape, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(),
		fleet: &Fleet{Network: &Network{Seed: seed}, OnStart: onStart},
		h:     &History{Abandoned: make(map[string]bool), Kinds: make(map[fault.Kind]int)},
	}
	for range shape.VMs {
		s.addName()
	}
	for _, id := range s.names {
		s.fleet.List(id, true)
		s.fleet.Start(id)
	}
	time.Sleep(settleTime)
	s.fleet.Network.SetRates(shape.Faults)
	for range shape.Actions {
		time.Sleep(time.Duration(s.rng.Int64N(int64(shape.Step))))
		s.act()
	}
	time.Sleep(settleTime)
	s.fleet.Network.Heal()
	time.Sleep(healTime)
	return s.h, s.fleet
}

func (s *schedule) addName() {
	s.next++
	s.names = append(s.names, fmt.Sprintf("vm%d", s.next))
}

func (s *schedule) pick() string { return s.names[s.rng.IntN(len(s.names))] }

// act does one random action.
func (s *schedule) act() {
	w := s.shape.Weights
	n := s.rng.IntN(w.Submit + w.Cut + w.Outage + w.Pause + w.Restart + w.Replace + w.Leave)
	switch {
	case n < w.Submit:
		s.submit()
	case n < w.Submit+w.Cut:
		s.cut(s.pick(), s.pick())
	case n < w.Submit+w.Cut+w.Outage:
		s.outage()
	case n < w.Submit+w.Cut+w.Outage+w.Pause:
		s.pause()
	case n < w.Submit+w.Cut+w.Outage+w.Pause+w.Restart:
		s.fleet.Start(s.pick())
	case n < w.Submit+w.Cut+w.Outage+w.Pause+w.Restart+w.Replace:
		s.replace()
	default:
		s.leave()
	}
}

func (s *schedule) faultTime() time.Duration { return time.Duration(s.rng.Int64N(int64(maxFaultTime))) }

func (s *schedule) cut(a, b string) {
	if a == b {
		return
	}
	d := s.faultTime()
	s.fleet.Network.Cut(a, b, true)
	time.AfterFunc(d, func() { s.fleet.Network.Cut(a, b, false) })
}

// outage cuts one VM, or all, from the store.
func (s *schedule) outage() {
	d := s.faultTime()
	ids := []string{s.pick()}
	if s.rng.IntN(2) == 0 {
		ids = append([]string(nil), s.names...)
	}
	for _, id := range ids {
		s.fleet.Network.CutStore(id, true)
		time.AfterFunc(d, func() { s.fleet.Network.CutStore(id, false) })
	}
}

func (s *schedule) pause() {
	id, d := s.pick(), s.faultTime()
	s.fleet.Network.Pause(id)
	time.AfterFunc(d, func() { s.fleet.Network.Continue(id) })
}

// leave stops a VM as planned and starts it again.
func (s *schedule) leave() {
	id := s.pick()
	v := s.fleet.VM(id)
	go func() {
		ctx, cancel := context.WithTimeout(v.Context(), leaveTime)
		v.Keeper.HandOver(ctx)
		_ = v.Keeper.Leave(ctx, func(ctx context.Context) bool {
			v.Book.WriteHeld()
			return v.Book.Flush(ctx)
		})
		cancel()
		if v.Alive() {
			s.fleet.Start(id)
		}
	}()
}

func (s *schedule) replace() {
	i := s.rng.IntN(len(s.names))
	old := s.names[i]
	s.addName()
	s.names[i] = s.names[len(s.names)-1]
	s.names = s.names[:len(s.names)-1]
	s.fleet.Network.Continue(old)
	s.fleet.Replace(old, s.names[i])
}

// submit submits a key at a VM; what follows its ticket is drawn now, so that
// the schedule does not depend on the order of goroutines.
func (s *schedule) submit() {
	v := s.fleet.VM(s.pick())
	n := s.rng.IntN(s.shape.Keys)
	r := Request(fmt.Sprintf("key%d", n))
	if s.shape.Homeless && n == s.shape.Keys-1 {
		r.Home = ""
	}
	wait := time.Duration(s.rng.Int64N(int64(maxSendDelay)))
	end := s.rng.IntN(8)
	go s.serve(v, r, wait, end)
}

// Request returns the request of a key whose home is the fleet's data centre.
func Request(key string) claim.Request {
	digest := sha256.Sum256([]byte(key))
	return claim.Request{Account: "counters", Key: key, Home: DataCentre, Digest: digest[:]}
}

func (s *schedule) serve(v *VM, r claim.Request, wait time.Duration, end int) {
	ctx, cancel := context.WithTimeout(v.Context(), submitLimit)
	defer cancel()
	t, recorded, err := v.Book.Claim(ctx, r)
	s.ended(r, recorded, err)
	if t == nil {
		return
	}
	time.Sleep(wait)
	s.fleet.Network.Gate(v.ID)
	if !v.Alive() {
		return
	}
	if end == 0 {
		s.abandoned(t)
		v.Book.Abandon(ctx, t)
		return
	}
	s.sent(Send{Key: r.Key, Token: t.Record.GetToken(), VM: v.Incarnation, At: time.Since(s.start)}, t.Revision == 0)
	if end > 2 {
		v.Book.Finish(ctx, t, []byte(t.Record.GetToken()))
	}
}

func (s *schedule) abandoned(t *claim.Ticket) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.Abandoned[t.Record.GetToken()] = true
}

func (s *schedule) sent(send Send, detached bool) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.Sends = append(s.h.Sends, send)
	if detached {
		s.h.Detached++
	}
}

// ended counts the end of a submission and checks a recorded result.
func (s *schedule) ended(r claim.Request, recorded *claim.Recorded, err error) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.Kinds[fault.KindOf(err)]++
	if recorded == nil {
		return
	}
	for _, send := range s.h.Sends {
		if send.Key == r.Key && send.Token == string(recorded.Result) {
			return
		}
	}
	s.h.Wrong = append(s.h.Wrong, r.Key)
}
