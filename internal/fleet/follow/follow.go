// Package follow polls the store for the operators' configuration and provides
// the newest version.
package follow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// readTimeout bounds one read of the configuration.
	readTimeout = 2600 * time.Millisecond
	// readsPerApplyTime is the number of reads within the time in which an accepted
	// configuration must be in force.
	readsPerApplyTime = 3.5
	// failureBackoff is how long after a failed read no new read begins, so that
	// calls that need a read are not delayed by one failing read after another.
	failureBackoff = 150 * time.Millisecond
	// retryDelay is the pause between reads after a failed read and while there is
	// no configuration.
	retryDelay = 200 * time.Millisecond
	// watchLag is how long the store may leave out changes before it discards its history.
	watchLag = 3 * time.Second
	// FreshAge is the age up to which a call is refused by a configuration without
	// reading it again.
	FreshAge = 150 * time.Millisecond
)

// Reader reads changes of the store, directly or through a peer.
type Reader interface {
	// Changes returns the items that changed after a revision, or more, and the revision
	// of that reading.
	Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error)
}

// Follower polls the configuration. Its exported fields are set before use.
type Follower struct {
	Store Reader
	// Key is the key that the operators write.
	Key    string
	Decode func(b []byte) (*model.Config, error)
	// ApplyTime is the time within which an accepted configuration must be in force.
	ApplyTime time.Duration
	Log       *slog.Logger
	Meter     *meter.Meter

	current atomic.Pointer[model.Config]
	// confirmed is the boot time at which the last successful read began, so it
	// also counts the time in which the VM was suspended. Zero before the first.
	confirmed   atomic.Int64
	mu          sync.Mutex
	pendingRead *pendingRead
	failedAt    time.Time
	lastErr     error
	// revision is that of the last item that was read.
	revision int64
	// after is the revision of the store after which changes are read; 0 for all.
	// nextAfter is that of a later reading without changes, at nextAt; 0 for none.
	after, nextAfter int64
	nextAt           time.Time
	// readWhole reports that the next read is of the whole key, since reading the changes
	// failed: there may be more of them than the link carries in time.
	readWhole bool
}

// pendingRead is a read that several callers wait for.
type pendingRead struct {
	done chan struct{}
	err  error
}

// Current returns the newest configuration that was read, nil for none. Its
// version never decreases.
func (f *Follower) Current() *model.Config { return f.current.Load() }

// Age returns the time since the start of the last read that confirmed the
// configuration as the newest, and the longest duration if there was none.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Since(boottime.Time(at))
}

// Run reads the configuration periodically until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := time.Duration(float64(f.ApplyTime) / readsPerApplyTime)
		if err := f.Refresh(ctx); err != nil || f.Current() == nil {
			delay = retryDelay
		}
		pause.For(ctx, delay)
	}
}

// Refresh reads the configuration. Concurrent calls share the read that the first
// of them began. Within failureBackoff of a failed read it returns that read's
// error.
func (f *Follower) Refresh(ctx context.Context) error {
	f.mu.Lock()
	if time.Since(f.failedAt) < failureBackoff {
		defer f.mu.Unlock()
		return f.lastErr
	}
	r := f.pendingRead
	if r == nil {
		r = &pendingRead{done: make(chan struct{})}
		f.pendingRead = r
		go f.read(context.WithoutCancel(ctx), r)
	}
	f.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Follower) read(ctx context.Context, r *pendingRead) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := boottime.Now()
	after := f.after
	if f.readWhole {
		after = 0
	}
	items, at, err := f.Store.Changes(ctx, f.Key, after)
	if err == nil {
		err = duty.Run(f.Log, f.Meter, "take a configuration", func() { f.applyLast(items) })
	}
	if err == nil {
		f.readWhole = false
		f.advance(items, at)
		f.confirmed.Store(int64(began))
	} else {
		f.readWhole = !f.readWhole
		f.Meter.Inc("config_read_failed")
	}
	r.err = err
	f.mu.Lock()
	f.pendingRead = nil
	if err != nil {
		f.failedAt, f.lastErr = time.Now(), err
	}
	f.mu.Unlock()
	close(r.done)
}

// advance sets the revision after which the next read begins. A revision without changes is
// used only after watchLag.
func (f *Follower) advance(items []store.Item, at int64) {
	if len(items) > 0 || f.after == 0 {
		f.after, f.nextAfter = at, 0
		return
	}
	if f.nextAfter == 0 || time.Since(f.nextAt) >= watchLag {
		f.after = max(f.after, f.nextAfter)
		f.nextAfter, f.nextAt = at, time.Now()
	}
}

// applyLast applies the last of the items that is a configuration, if there is one.
func (f *Follower) applyLast(items []store.Item) {
	for _, it := range slices.Backward(items) {
		if it.Key == f.Key && !it.Deleted {
			f.apply(it)
			return
		}
	}
}

// apply puts a newer configuration in force. One that can't be decoded, or whose
// version is not higher, leaves the present one in force.
func (f *Follower) apply(it store.Item) {
	if it.Revision == f.revision {
		return
	}
	f.revision = it.Revision
	c, err := f.Decode(it.Value)
	if err != nil {
		f.Meter.Inc("config_decode_error")
		f.Log.Warn("configuration can't be decoded; keeping the present one", "revision", it.Revision, "error", err)
		return
	}
	old := f.current.Load()
	if old != nil && c.Version <= old.Version {
		f.Meter.Inc("config_version_not_higher")
		f.Log.Warn("configuration version not higher; keeping the present one", "version", c.Version, "in_force", old.Version)
		return
	}
	f.current.Store(c)
	f.Meter.Set("config_version", c.Version)
	f.Log.Info("configuration in force", "version", c.Version, "revision", it.Revision, "bytes", len(it.Value),
		"queues", len(c.Queues), "accounts", len(c.Accounts))
}

// WaitForVersion reads the configuration until its version is at least version. It
// returns the error of a failed read, or that of ctx.
func (f *Follower) WaitForVersion(ctx context.Context, version int64) error {
	for !f.hasVersion(version) {
		if err := f.Refresh(ctx); err != nil || f.hasVersion(version) {
			return err
		}
		if !pause.For(ctx, retryDelay) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Follower) hasVersion(version int64) bool {
	c := f.Current()
	return c != nil && c.Version >= version
}
