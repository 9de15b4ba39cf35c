package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// Reasons why a VM is not ready.
const (
	reasonStopping = "stopping"
	reasonNoConfig = "no_configuration"
	reasonIsolated = "isolated"
)

const (
	// healthInterval is the time between two examinations of a VM's health.
	healthInterval = 100 * time.Millisecond
	// maxStall is how much later than due an examination may begin before the process
	// counts as not having run.
	maxStall = 400 * time.Millisecond
	// maxCheckGap is the time without a readiness check from which it is logged. The load
	// balancer checks once a second.
	maxCheckGap = 2500 * time.Millisecond
)

// health records why the load balancer's readiness checks fail at a VM: it is not ready,
// its process does not run, or no check reaches it.
type health struct {
	log   *slog.Logger
	meter *meter.Meter
	// notReady returns why the VM is not ready, and the empty string when it is.
	notReady func() string

	mu sync.Mutex
	// reason is the last result of notReady, which began at reasonAt.
	reason   string
	reasonAt boottime.Time
	// checkedAt is when the last readiness check arrived; 0 before the first.
	checkedAt boottime.Time
	// unchecked reports that the absence of checks has been logged.
	unchecked bool
}

// check records a readiness check and reports whether the VM is ready.
func (h *health) check() bool {
	ready := h.examine() == ""
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unchecked {
		h.log.Info("readiness is checked again", "unchecked_ms", boottime.Since(h.checkedAt).Milliseconds())
	}
	h.checkedAt, h.unchecked = boottime.Now(), false
	return ready
}

// examine logs a change of the VM's readiness, and returns why it is not ready.
func (h *health) examine() string {
	reason := h.notReady()
	h.mu.Lock()
	defer h.mu.Unlock()
	if reason != h.reason {
		lasted := boottime.Since(h.reasonAt).Milliseconds()
		if reason == "" {
			h.log.Info("ready", "not_ready_ms", lasted, "reason", h.reason)
		} else {
			h.meter.Inc("not_ready_" + reason)
			h.log.Warn("not ready", "reason", reason)
		}
		h.reason, h.reasonAt = reason, boottime.Now()
	}
	return reason
}

// run examines the VM's health until ctx ends.
func (h *health) run(ctx context.Context) {
	for due := boottime.Now(); ctx.Err() == nil; {
		if late := boottime.Since(due); late > maxStall {
			h.meter.Inc("process_stalled")
			h.meter.Time("process_stall_time", late)
			h.log.Warn("the process did not run", "stalled_ms", late.Milliseconds())
		}
		h.examine()
		h.examineChecks()
		due = boottime.Now().Add(healthInterval)
		pause.For(ctx, healthInterval)
	}
}

// examineChecks logs that no readiness check has arrived for maxCheckGap.
func (h *health) examineChecks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checkedAt == 0 || h.unchecked || boottime.Since(h.checkedAt) < maxCheckGap {
		return
	}
	h.unchecked = true
	h.meter.Inc("readiness_unchecked")
	h.log.Warn("no readiness check arrives", "unchecked_ms", boottime.Since(h.checkedAt).Milliseconds())
}
