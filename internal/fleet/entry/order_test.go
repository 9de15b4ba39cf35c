package entry_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/entry"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// slowConfig is a configuration whose next version is read at a time; zero if no read ends.
type slowConfig struct {
	current atomic.Pointer[model.Config]
	next    *model.Config
	readAt  time.Time
}

func (c *slowConfig) Current() *model.Config { return c.current.Load() }
func (c *slowConfig) Age() time.Duration     { return time.Second }

func (c *slowConfig) Refresh(ctx context.Context) error {
	if c.readAt.IsZero() {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(time.Until(c.readAt)):
		c.current.Store(c.next)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// configWith returns a version of the configuration that has one queue.
func configWith(version int64, prefix string) *model.Config {
	return &model.Config{Version: version, Queues: []model.Queue{{Name: prefix, Prefix: prefix, Public: true}}}
}

const rollbackSlack = 250 * time.Millisecond

func newOrderedService(c *slowConfig) *entry.JobService {
	c.current.Store(configWith(4, "/old/"))
	c.next = configWith(7, "/new/")
	return &entry.JobService{Config: c, RollbackSlack: rollbackSlack, Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{}}
}

// TestCallDoesNotOvertakeOneThatWaits guards against a call that is answered by an older
// configuration than one that was sent long before it.
func TestCallDoesNotOvertakeOneThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		js := newOrderedService(&slowConfig{readAt: time.Now().Add(700 * time.Millisecond)})
		first := make(chan error, 1)
		go func() {
			_, err := js.Find(t.Context(), entry.Call{Path: "/new/"})
			first <- err
		}()
		time.Sleep(50 * time.Millisecond)
		_, err := js.Find(t.Context(), entry.Call{Path: "/old/"}) // sent at nearly the same time
		is.NoErr(err)
		time.Sleep(rollbackSlack)
		_, err = js.Find(t.Context(), entry.Call{Path: "/old/"})
		is.True(fault.Is(err, fault.NotFound))
		is.NoErr(<-first)
	})
}

// TestUnreadableConfigurationDelaysCallsOnce guards against calls that wait one after the other for
// a configuration that can't be read.
func TestUnreadableConfigurationDelaysCallsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		js := newOrderedService(&slowConfig{})
		began := time.Now()
		go func() { _, _ = js.Find(t.Context(), entry.Call{Path: "/new/"}) }()
		for range 8 {
			time.Sleep(rollbackSlack)
			_, err := js.Find(t.Context(), entry.Call{Path: "/old/"})
			is.NoErr(err)
		}
		// The calls that are sent within the second for which the first one waits wait until its end.
		is.Equal(time.Since(began), time.Second+7*rollbackSlack)
	})
}
