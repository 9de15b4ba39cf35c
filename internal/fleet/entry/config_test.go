package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestConfigurationIsFollowedWhileVMsLoseStoreInSilence guards against a configuration that is
// not in force in time at VMs that have lost the store together with peers of theirs.
func TestConfigurationIsFollowedWhileVMsLoseStoreInSilence(t *testing.T) {
	for _, c := range []struct{ vms, cut int }{{8, 2}, {8, 4}, {45, 4}, {45, 15}, {45, 22}, {300, 100}, {300, 150}} {
		t.Run(fmt.Sprintf("%d of %d VMs", c.cut, c.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVMs(t, c.vms, unwrapped, newTestPeers)
				defer f.stop()
				f.cut(c.cut)
				oldest := time.Duration(0)
				for range 80 {
					time.Sleep(100 * time.Millisecond)
					for _, js := range f.services {
						oldest = max(oldest, js.Config.Age())
					}
				}
				t.Logf("oldest configuration %v", oldest)
				is.True(oldest <= configApplyTime)
			})
		})
	}
}
