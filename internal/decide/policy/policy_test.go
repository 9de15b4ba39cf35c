package policy_test

import (
	"strings"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// TestSelect guards against mechanisms without a measured gain that are on by default, and
// against lists that have no effect.
func TestSelect(t *testing.T) {
	d, err := policy.Select("", "")
	if err != nil || len(d) != len(policy.OptIn()) || !d[policy.WorkerSpeed] || d[policy.Interference] {
		t.Errorf("by default: got %v, %v", d, err)
	}
	d, err = policy.Select("warm_up,stop_limit", "worker_speed,stop_limit")
	if err != nil || d[policy.WorkerSpeed] || !d[policy.AccountOrder] || !d[policy.WarmUp] || !d[policy.StopLimit] {
		t.Errorf("with lists: got %v, %v", d, err)
	}
	if _, err := policy.Select("", "speed"); !fault.Is(err, fault.BadSettings) {
		t.Errorf("got %v, want an error of kind BadSettings", err)
	}
}

func TestParseDisabled(t *testing.T) {
	d, err := policy.ParseDisabled("reservations, warm_up")
	if err != nil || len(d) != 2 || !d[policy.Reservations] || !d[policy.WarmUp] || d[policy.Preemption] {
		t.Errorf("got %v, %v", d, err)
	}
	if d, err := policy.ParseDisabled(""); err != nil || d[policy.Reservations] {
		t.Errorf("empty list: got %v, %v", d, err)
	}
	for _, list := range []string{"reservation", "reservations,", "a,b"} {
		_, err := policy.ParseDisabled(list)
		if !fault.Is(err, fault.BadSettings) {
			t.Errorf("%q: got %v, want an error of kind BadSettings", list, err)
			continue
		}
		for _, m := range policy.Mechanisms() {
			if !strings.Contains(err.Error(), string(m)) {
				t.Errorf("%q: the error does not list %s: %v", list, m, err)
			}
		}
	}
}
