package policy_test

import (
	"strings"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

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
