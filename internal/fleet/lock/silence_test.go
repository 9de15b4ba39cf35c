package lock_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestShortSilenceDoesNotDelayTakeover guards against a fleet without a planner, when the
// planner's VM is lost, since the watches of all other VMs began while the store was silent.
func TestShortSilenceDoesNotDelayTakeover(t *testing.T) {
	const vms, silence = 12, 200 * time.Millisecond
	for offset := time.Duration(0); offset < 4*time.Second; offset += silence / 2 {
		runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
			var others []*candidate
			for i := range vms {
				c := newCandidate(w, fmt.Sprint("b", i))
				defer c.shutDown()
				others = append(others, c)
			}
			time.Sleep(offset)
			a.link.Cut(true)
			for _, c := range others {
				c.link.Cut(true)
			}
			time.Sleep(silence)
			for _, c := range others {
				c.link.Cut(false)
			}
			time.Sleep(lock.TTL + 500*time.Millisecond - silence)
			leaders := 0
			for _, c := range others {
				if c.leads() {
					leaders++
				}
			}
			is.Equal(leaders, 1)
		})
	}
}
