package entry

import (
	"sync/atomic"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// callLimit counts the calls in progress, each of which may take connections to the store
// and to other VMs.
type callLimit struct{ inProgress atomic.Int64 }

// begin counts a call until end is called. Its error is of kind Overloaded if there are too
// many.
func (js *JobService) begin() (end func(), err error) {
	n := js.calls.inProgress.Add(1)
	if js.MaxCalls > 0 && n > int64(js.MaxCalls) {
		js.calls.inProgress.Add(-1)
		js.Meter.Inc("call_limited")
		return nil, &RetryLaterError{fault.New(fault.Overloaded, "%d calls are in progress", js.MaxCalls), retryAfter}
	}
	return func() { js.calls.inProgress.Add(-1) }, nil
}
