package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// TestCallsInProgressAreBounded guards against calls that take more connections than the
// VM has descriptors, and against a limit that is not released.
func TestCallsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	js := &JobService{MaxCalls: 2, Meter: &meter.Meter{}}
	for range 3 {
		end1, err := js.begin()
		is.NoErr(err)
		end2, err := js.begin()
		is.NoErr(err)
		_, err = js.Pending(t.Context(), Target{})
		var later *RetryLaterError
		is.True(errors.As(err, &later))
		is.True(later.After >= time.Second)
		is.True(fault.Is(err, fault.Overloaded)) // its outcome is "not run"
		end1()
		end2()
	}
}
