// Package wire serves the store and the workers of a world over HTTP, in the
// documented formats of the users' platform.
package wire

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// Keys of the store that the operators and the workers write.
const (
	ConfigKey = "op/config"
	// EvacuationPrefix is followed by the name of a data centre.
	EvacuationPrefix = "op/evacuate/"
	WorkerPrefix     = "servers/"
)

// Wire serves a world over HTTP. Its exported fields, except StoreAddress, are set
// before Listen.
type Wire struct {
	World *world.World
	// AdvertisedAddress returns the address at which a worker registers, given its own; nil
	// registers its own.
	AdvertisedAddress func(id, address string) (string, error)
	// PageSize is the number of items on a page of a list.
	PageSize int
	// StoreAddress is the address of the store's listener; Listen sets it.
	StoreAddress string

	mu sync.Mutex
	// addresses are the addresses at which workers have registered, by ID.
	addresses map[string]string

	// view is the connection to the world's store; tests set the faults of its link.
	view    *world.View
	servers []*http.Server
}

type object = map[string]any

// Link returns the link of all calls to the store or to a worker; to is "store" or
// the worker's ID.
func (w *Wire) Link(to string) *world.Link { return w.World.Link("wire", to) }

// Listen serves the store and the given workers, and registers the workers. It
// returns the first error of listening, of looking up an address or of a registration.
func (w *Wire) Listen(workers []string) error {
	w.view = &world.View{Store: w.World.Store, Link: w.Link("store")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", w.get)
	mux.HandleFunc("GET /v1/kv-range", w.list)
	mux.HandleFunc("GET /v1/kv-watch", w.watch)
	mux.HandleFunc("POST /v1/kv-txn", w.txn)
	mux.HandleFunc("POST /v1/kv-lease", w.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", w.keepAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", w.revoke)
	var err error
	if w.StoreAddress, err = w.serve(mux, nil); err != nil {
		return err
	}
	for _, id := range workers {
		if err := w.addWorker(id); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all listeners and their connections.
func (w *Wire) Close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// serve serves on a free port. connContext is that of http.Server; nil for none.
func (w *Wire) serve(h http.Handler, connContext func(ctx context.Context, c net.Conn) context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnContext: connContext}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// registration is a worker's entry in the store.
type registration struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Born     int64    `json:"born"`
	Sequence int      `json:"sequence"`
	Capacity object   `json:"capacity"`
	Labels   []string `json:"labels"`
	ClockMS  int64    `json:"clock_ms"`
}

// addWorker serves a worker and registers it as the platform's workers do.
func (w *Wire) addWorker(id string) error {
	client := &world.Client{Worker: w.World.Worker(id), Link: w.Link(id)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", func(rw http.ResponseWriter, r *http.Request) { start(rw, r, client) })
	mux.HandleFunc("POST /v1/run-stop", func(rw http.ResponseWriter, r *http.Request) { stop(rw, r, client) })
	mux.HandleFunc("POST /v1/hold", func(rw http.ResponseWriter, r *http.Request) {
		// A client makes one renewal at a time, and callers also make some on other connections.
		renew(rw, r, &world.Client{Worker: client.Worker, Link: client.Link})
	})
	address, err := w.serve(endWithIncarnation(client.Worker, mux), func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, incarnationKey{}, client.Worker.Snapshot().Incarnation)
	})
	if err == nil && w.AdvertisedAddress != nil {
		address, err = w.AdvertisedAddress(id, address)
	}
	if err != nil {
		return err
	}
	return w.Register(id, address)
}

// incarnationKey is the key of the worker's incarnation in the context of a connection.
type incarnationKey struct{}

// endWithIncarnation ends the connections to earlier incarnations of a worker.
func endWithIncarnation(x *world.Worker, h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Context().Value(incarnationKey{}) != x.Snapshot().Incarnation {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(rw, r)
	})
}

// Register writes the registration of a worker's current incarnation.
func (w *Wire) Register(id, address string) error {
	x := w.World.Worker(id).Snapshot()
	state := "ready"
	if x.Draining {
		state = "draining"
	}
	b, err := json.Marshal(registration{
		Service: x.Service, Address: address, Zone: cmp.Or(x.DataCentre, "z"), State: state, Born: x.Incarnation, Sequence: 1, Labels: x.Labels,
		ClockMS:  x.RegisteredAt.Milliseconds(),
		Capacity: object{"cpu": x.Capacity.MilliCPU, "requested_memory_mb": x.Capacity.MemoryMB, "gpu": x.Capacity.Accelerators},
	})
	if err != nil {
		return fmt.Errorf("encode the registration of %s: %w", id, err)
	}
	w.World.Store.Put(WorkerPrefix+id, b)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addresses == nil {
		w.addresses = make(map[string]string)
	}
	w.addresses[id] = address
	return nil
}

// Heartbeats registers the workers that are up again, as the platform's workers do, until
// ctx is done. While the store is down, heartbeats are lost. It returns the first error of
// a registration.
func (w *Wire) Heartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(world.HeartbeatInterval):
		}
		w.mu.Lock()
		addresses := maps.Clone(w.addresses)
		w.mu.Unlock()
		for id, address := range addresses {
			if !w.World.Worker(id).Up() || w.World.Store.IsDown() {
				continue
			}
			if err := w.Register(id, address); err != nil {
				return err
			}
		}
	}
}

func start(rw http.ResponseWriter, r *http.Request, client *world.Client) {
	var b struct {
		Task, Specification, Checkpoint string
		Run                             int64
		Token                           int64 `json:"fencing_token"`
		DeadlineMS                      int64 `json:"deadline_ms"`
	}
	if !decodeBody(rw, r, &b) {
		return
	}
	writeOrderResult(rw, client.Start(r.Context(), planner.StartOrder{
		Task: parseTask(b.Task), Run: b.Run, Specification: b.Specification, Token: b.Token, Checkpoint: b.Checkpoint,
		Deadline: time.Duration(b.DeadlineMS) * time.Millisecond,
	}))
}

func stop(rw http.ResponseWriter, r *http.Request, client *world.Client) {
	var b struct {
		Task  string
		Run   int64
		Token int64 `json:"fencing_token"`
	}
	if decodeBody(rw, r, &b) {
		writeOrderResult(rw, client.Stop(r.Context(), parseTask(b.Task), b.Run, b.Token))
	}
}

func renew(rw http.ResponseWriter, r *http.Request, client *world.Client) {
	var b struct {
		Token      int64 `json:"fencing_token"`
		LastSeen   int64 `json:"last_seen"`
		DeadlineMS int64 `json:"deadline_ms"`
		WaitMS     int64 `json:"wait_ms"`
	}
	if !decodeBody(rw, r, &b) {
		return
	}
	rep, err := client.Renew(r.Context(), planner.LeaseRenewal{
		Token: b.Token, LastAcknowledged: b.LastSeen, Deadline: time.Duration(b.DeadlineMS) * time.Millisecond,
		MaxWait: time.Duration(b.WaitMS) * time.Millisecond,
	})
	if err != nil {
		writeOrderResult(rw, err)
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range rep.Running {
		running = append(running, []any{taskName(x.Task), x.Run, x.Checkpoint, x.Percent, 0})
	}
	for _, e := range rep.Results {
		finished = append(finished, []any{e.Number, taskName(e.Task), e.Run, string(e.Kind), e.Checkpoint})
	}
	writeJSON(rw, http.StatusOK, object{"clock_ms": rep.Clock.Milliseconds(), "born": rep.Incarnation, "running": running, "finished": finished})
}

func writeOrderResult(rw http.ResponseWriter, err error) {
	reasons := map[fault.Kind]string{fault.Fenced: "fence", fault.Deadline: "late", fault.Conflict: "old", fault.Overloaded: "room"}
	switch reason, ok := reasons[fault.KindOf(err)]; {
	case err == nil:
		writeJSON(rw, http.StatusOK, object{"clock_ms": 1})
	case ok:
		writeJSON(rw, http.StatusConflict, object{"clock_ms": 1, "reason": reason})
	case fault.Is(err, fault.AnswerLost):
		// A machine without power does not respond.
		panic(http.ErrAbortHandler)
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func taskName(t planner.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

func parseTask(s string) planner.TaskID {
	parts := append(strings.Split(s, "."), "", "", "")
	n := func(i int) int { k, _ := strconv.Atoi(parts[i]); return k }
	return planner.TaskID{Job: parts[0], Occurrence: n(1), Step: n(2), Index: n(3)}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func decodeBody(rw http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
