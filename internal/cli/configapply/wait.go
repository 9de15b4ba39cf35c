package configapply

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Wait is the value of the flag --wait.
type Wait time.Duration

const (
	// DefaultWait is the time within which a version comes into force on all VMs.
	DefaultWait  = 10 * time.Second
	pollInterval = 200 * time.Millisecond
)

// String returns the flag's value.
func (w *Wait) String() string { return time.Duration(*w).String() }

// IsBoolFlag reports that the flag can be given without a value.
func (w *Wait) IsBoolFlag() bool { return true }

// Set parses true, false or a positive duration with its unit.
func (w *Wait) Set(v string) error {
	switch v {
	case "true":
		*w = Wait(DefaultWait)
	case "false":
		*w = 0
	default:
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return fmt.Errorf("accepted: a duration with its unit, such as 10s")
		}
		*w = Wait(d)
	}
	return nil
}

// wait polls until the version is in force on every reachable VM, and then prints
// the unreachable ones. It returns a NotInForce error after o.Wait.
func wait(ctx context.Context, o *Options, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.Wait))
	defer cancel()
	var s operator.Spread
	for {
		err := o.Factory.Call(ctx, o.Connection, http.MethodGet, fmt.Sprintf("/v1/config/spread?version=%d", version), nil, nil, &s)
		if err == nil && len(s.Outdated) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.NotInForce, "version %d was accepted; not in force on %s", version, vmsNotInForce(s))
		case <-time.After(pollInterval):
		}
	}
	if len(s.Unreachable) > 0 {
		_, _ = fmt.Fprintf(o.Factory.Err, "cannot be reached: %s\n", strings.Join(s.Unreachable, ", "))
	}
	return nil
}

func vmsNotInForce(s operator.Spread) string {
	all := append(append([]string(nil), s.Outdated...), s.Unreachable...)
	if len(all) == 0 {
		return "VMs that did not answer"
	}
	return strings.Join(all, ", ")
}
