// Package follow keeps the newest configuration of the operators.
package follow

import (
	"context"
	"log/slog"
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
	// reads is the number of reads in the time in which a configuration must be
	// in force.
	reads = 3.5
	// failedPause is how long after a failed read no other begins: calls that
	// wait for one are not held up again and again.
	failedPause = 150 * time.Millisecond
	// firstDelay is the pause between reads while there is no configuration.
	firstDelay = 200 * time.Millisecond
	// Fresh is the age up to which a configuration needs no further read before
	// a call is refused by it.
	Fresh = 150 * time.Millisecond
)

// Reader reads keys of the store by any path.
type Reader interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
}

// Follower follows the configuration. Its exported fields are set before use.
type Follower struct {
	Store Reader
	// Key is where the operators write.
	Key    string
	Decode func(b []byte) (*model.Config, error)
	// Apply is how soon a configuration must be in force.
	Apply time.Duration
	Log   *slog.Logger
	Meter *meter.Meter

	current atomic.Pointer[model.Config]
	// confirmed is when the read that last confirmed the configuration began;
	// suspension of the VM counts. Zero before.
	confirmed atomic.Int64
	mu        sync.Mutex
	reading   *reading
	failedAt  time.Time
	failure   error
	revision  int64
}

// reading is a read that several callers wait for.
type reading struct {
	done chan struct{}
	err  error
}

// Current returns the newest configuration that was read, nil for none. Its
// version never goes down.
func (f *Follower) Current() *model.Config { return f.current.Load() }

// Age returns how long ago the configuration was known to be the newest.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Since(boottime.Time(at))
}

// Run reads the configuration again and again until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := time.Duration(float64(f.Apply) / reads)
		if err := f.Refresh(ctx); err != nil || f.Current() == nil {
			delay = firstDelay
		}
		pause.For(ctx, delay)
	}
}

// Refresh reads the configuration; calls at the same time share a read that
// began after the first of them.
func (f *Follower) Refresh(ctx context.Context) error {
	f.mu.Lock()
	if time.Since(f.failedAt) < failedPause {
		defer f.mu.Unlock()
		return f.failure
	}
	r := f.reading
	if r == nil {
		r = &reading{done: make(chan struct{})}
		f.reading = r
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

func (f *Follower) read(ctx context.Context, r *reading) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := boottime.Now()
	it, found, err := f.Store.Get(ctx, f.Key)
	if err == nil && found {
		err = duty.Run(f.Log, f.Meter, "take a configuration", func() { f.take(it) })
	}
	if err == nil {
		f.confirmed.Store(int64(began))
	} else {
		f.Meter.Inc("config_read_failed")
	}
	r.err = err
	f.mu.Lock()
	f.reading = nil
	if err != nil {
		f.failedAt, f.failure = time.Now(), err
	}
	f.mu.Unlock()
	close(r.done)
}

// take puts a newer configuration in force; one that can't be read leaves the
// last good one in force.
func (f *Follower) take(it store.Item) {
	if it.Revision == f.revision {
		return
	}
	f.revision = it.Revision
	c, err := f.Decode(it.Value)
	if err != nil {
		f.Meter.Inc("config_decode_error")
		f.Log.Warn("configuration not usable", "revision", it.Revision, "error", err)
		return
	}
	old := f.current.Load()
	if old != nil && c.Version <= old.Version {
		f.Meter.Inc("config_version_not_higher")
		f.Log.Warn("configuration not newer", "version", c.Version, "in_force", old.Version)
		return
	}
	f.current.Store(c)
	f.Meter.Set("config_version", c.Version)
	f.Log.Info("configuration in force", "version", c.Version, "revision", it.Revision, "queues", len(c.Queues), "accounts", len(c.Accounts))
}

// WaitForVersion reads the configuration until its version is at least version.
func (f *Follower) WaitForVersion(ctx context.Context, version int64) error {
	for !f.has(version) {
		if err := f.Refresh(ctx); err != nil || f.has(version) {
			return err
		}
		if !pause.For(ctx, firstDelay) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Follower) has(version int64) bool {
	c := f.Current()
	return c != nil && c.Version >= version
}
