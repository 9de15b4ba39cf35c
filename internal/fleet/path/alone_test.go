package path_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestCreationIsRefusedAtOnceWithoutRoute guards against an unknown result, after a time-out,
// of a change that a VM without peers has not sent.
func TestCreationIsRefusedAtOnceWithoutRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.relays.list = nil
		s.world.Link("a", "store").Set(world.Faults{Refuse: 1})
		is.True(s.apply("k1") != nil)
		time.Sleep(time.Second)
		began := time.Now()
		is.True(fault.Is(s.apply("k2"), fault.StoreUnavailable))
		is.True(time.Since(began) < 100*time.Millisecond)
	})
}
