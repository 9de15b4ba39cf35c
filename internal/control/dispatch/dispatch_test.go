package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/runner"
)

// book is a claimer that keeps claims in memory.
type book struct {
	mu                  sync.Mutex
	err                 error
	finished, abandoned int
}

func (b *book) Claim(context.Context, claim.Request) (*claim.Ticket, *claim.Recorded, error) {
	if b.err != nil {
		return nil, nil, b.err
	}
	return &claim.Ticket{}, nil, nil
}

func (b *book) Finish(context.Context, *claim.Ticket, []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished++
}

func (b *book) Abandon(context.Context, *claim.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned++
}

func (b *book) spent() (finished, abandoned int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished, b.abandoned
}

// bed is a dispatcher with runner stand-ins behind relays.
type bed struct {
	*Dispatcher
	t       *testing.T
	book    *book
	runners []*runner.Runner
	relays  []*relay.Relay
	vms     []vmlist.VM
}

const configuration = `
[[kinds]]
name = "check"
class = "urgent"
idempotent = true
service = "rota"
expected = "20ms"
[[kinds]]
name = "render"
class = "batch"
idempotent = true
service = "rota"
expected = "20ms"
[[kinds]]
name = "stamp"
class = "urgent"
service = "rota"
expected = "20ms"
[[kinds]]
name = "far"
class = "urgent"
idempotent = true
service = "elsewhere"
[[accounts]]
id = "guild"
`

func newBed(t *testing.T, runners int, serviceTime time.Duration, extra string) *bed {
	t.Helper()
	doc, err := config.Parse("test", []byte(configuration+extra))
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, book: &book{}}
	b.Dispatcher = &Dispatcher{
		VM: "a", DataCentre: "uppland-1", Region: "uppland", Claims: b.book, Meter: &meter.Meter{},
		Config: func() config.Head { return config.Head{Document: doc} },
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for i := range runners {
		b.addRunner(fmt.Sprintf("r%d", i+1), serviceTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		b.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	b.SetRunners(b.vms)
	for len(b.Runners()) < runners {
		time.Sleep(time.Millisecond)
	}
	return b
}

func (b *bed) addRunner(id string, serviceTime time.Duration) {
	b.t.Helper()
	r := &runner.Runner{ID: id, ServiceTime: serviceTime}
	e := jsonhttp.NewEcho(jsonhttp.Limits{MaxBodyBytes: jsonhttp.MaxAnswerBytes}, &r.Meter)
	r.Register(e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	go func() { _ = jsonhttp.Serve(e, l) }()
	rl, err := relay.Listen("127.0.0.1:0", l.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { closeAll(rl, e) })
	b.runners = append(b.runners, r)
	b.relays = append(b.relays, rl)
	b.vms = append(b.vms, vmlist.VM{
		ID: id, Role: vmlist.Runner, DataCentre: "uppland-1", Region: "uppland", Service: "rota",
		Slots: 8, Connections: 64, Address: rl.Address(),
	})
}

func closeAll(r *relay.Relay, e *echo.Echo) {
	r.Close()
	_ = e.Server.Close()
}

var requests atomic.Int64

// request returns the n-th request of a test; its payload names it.
func request(kind string, n int, timeout time.Duration) Request {
	r := Request{
		ID: fmt.Sprintf("q%d", requests.Add(1)), Account: "guild", Kind: kind, Key: fmt.Sprintf("k%d", n),
		Payload: fmt.Appendf(nil, "payload %d", n),
	}
	if timeout > 0 {
		r.Deadline = time.Now().Add(timeout)
	}
	return r
}

// outcome is "answered" or the kind of an error, and "wrong" for an answer to
// another request.
func outcome(r Request, a Answer, err error) string {
	switch {
	case err != nil:
		return string(fault.KindOf(err))
	case string(a.Payload) != a.Runner+": "+string(r.Payload):
		return "wrong"
	}
	return "answered"
}

// doAll sends n requests at once and returns how many had each outcome.
func (b *bed) doAll(kind string, n int, timeout time.Duration) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all := make(map[string]int)
	for i := range n {
		wg.Go(func() {
			r := request(kind, i, timeout)
			a, err := b.Do(context.Background(), r)
			mu.Lock()
			defer mu.Unlock()
			all[outcome(r, a, err)]++
		})
	}
	wg.Wait()
	return all
}

func (b *bed) seen() (seen, started, most int) {
	for _, r := range b.runners {
		seen += len(r.Seen())
		for _, n := range r.Starts() {
			started += n
			most = max(most, n)
		}
	}
	return seen, started, most
}

// scenario is one case of a data file.
type scenario struct {
	Name string `json:"name"`
	// Kind is "check", "stamp", or another kind of the configuration.
	Kind    string `json:"kind"`
	Runners int    `json:"runners"`
	// Faults hold at the first runner.
	Faults faults.Orders `json:"faults"`
	// Closed closes the runners' addresses.
	Closed bool `json:"closed"`
	// Config is added to the configuration.
	Config string `json:"config"`
	// ClaimKind is the kind of the claimer's error.
	ClaimKind fault.Kind `json:"claim_kind"`
	Requests  int        `json:"requests"`
	ServiceMS int64      `json:"service_ms"`
	TimeoutMS int64      `json:"timeout_ms"`
	// WithinMS bounds the time of all requests; 0 for none.
	WithinMS int64 `json:"within_ms"`
	// Outcomes counts the outcomes; a missing one may not come.
	Outcomes map[string]int `json:"outcomes"`
	// Seen and Started are the requests that arrived and started at runners.
	Seen    *int `json:"seen"`
	Started *int `json:"started"`
	// Counters are least values.
	Counters map[string]int64 `json:"counters"`
	// KeepsWork says that no runner is ejected and the first one goes on.
	KeepsWork bool `json:"keeps_work"`
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no data files", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var cases []scenario
		if err := jsonhttp.DecodeBytes(raw, &cases); err != nil {
			t.Fatal(file, err)
		}
		for _, c := range cases {
			t.Run(filepath.Base(file)+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				c.run(t)
			})
		}
	}
}

func (c scenario) run(t *testing.T) {
	is := is.New(t)
	b := newBed(t, c.Runners, time.Duration(c.ServiceMS)*time.Millisecond, c.Config)
	if c.ClaimKind != "" {
		b.book.err = fault.New(c.ClaimKind, "test")
	}
	if c.Runners > 0 {
		b.runners[0].Faults.Replace(c.Faults)
	}
	if c.Closed {
		for _, r := range b.relays {
			r.Close()
		}
	}
	began := time.Now()
	is.Equal(b.doAll(c.Kind, c.Requests, time.Duration(c.TimeoutMS)*time.Millisecond), c.Outcomes)
	if c.WithinMS > 0 {
		is.True(time.Since(began) <= time.Duration(c.WithinMS)*time.Millisecond)
	}
	c.checkRunners(is, b)
	for name, least := range c.Counters {
		for end := time.Now().Add(time.Second); b.Meter.Count(name) < least && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if got := b.Meter.Count(name); got < least {
			all, _ := json.Marshal(b.Meter.Snapshot())
			t.Errorf("%s = %d, want at least %d of %s", name, got, least, all)
		}
	}
}

func (c scenario) checkRunners(is *is.I, b *bed) {
	is.Helper()
	seen, started, most := b.seen()
	if c.Seen != nil {
		is.Equal(seen, *c.Seen)
	}
	if c.Started != nil {
		is.Equal(started, *c.Started)
	}
	if c.Kind == "stamp" {
		is.True(most <= 1)
	}
	if !c.KeepsWork {
		return
	}
	is.Equal(b.Meter.Count("runner_ejected"), int64(0))
	before := len(b.runners[0].Starts())
	for i := range 8 * c.Runners {
		_, err := b.Do(context.Background(), request("check", 1000+i, time.Second))
		is.NoErr(err)
	}
	is.True(len(b.runners[0].Starts()) > before)
}
