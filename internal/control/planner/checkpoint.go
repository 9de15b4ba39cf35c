package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

func (p *Planner) checkpointInterval() time.Duration {
	if p.CheckpointInterval == 0 {
		return DefaultCheckpointInterval
	}
	return p.CheckpointInterval
}

// checkpointLoop checkpoints the running gangs of idempotent jobs at an
// interval, which bounds the work that is discarded when a member is lost.
func (t *term) checkpointLoop() {
	clock := time.NewTicker(tickInterval)
	defer clock.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-clock.C:
		}
		for _, e := range t.dueCheckpoints(time.Now()) {
			t.background.Go(func() { t.checkpoint(t.ctx, e) })
		}
	}
}

// dueCheckpoints returns the jobs whose checkpoint is due and marks them as
// checkpointed at now.
func (t *term) dueCheckpoints(now time.Time) []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := t.p.checkpointInterval()
	var due []*entry
	for _, e := range t.jobs {
		if e.phase == running && e.rec.Idempotent && now.Sub(e.checkpointedAt) >= interval {
			e.checkpointedAt = now
			due = append(due, e)
		}
	}
	return due
}

// checkpoint checkpoints all parts of a gang. Only work that all parts have
// checkpointed counts; a part that does not answer keeps its last checkpoint.
func (t *term) checkpoint(ctx context.Context, e *entry) {
	t.mu.Lock()
	part, parts := e.part(), partsByWorker(e.rec.Slots)
	t.mu.Unlock()
	var mu sync.Mutex
	statuses := make(map[string]worker.PartStatus, len(parts))
	errs := t.eachPart(ctx, parts, func(ctx context.Context, id string, c *worker.Client) error {
		s, err := c.Checkpoint(ctx, worker.PartRequest{Part: part, Epoch: t.epoch})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = s
		return nil
	})
	t.p.Meter.Inc("gang_checkpoint")
	if len(errs) > 0 {
		t.p.Meter.Inc("gang_checkpoint_partial")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.part() != part {
		return
	}
	for id, s := range statuses {
		if e.parts[id].State != worker.Done {
			e.parts[id] = s
		}
	}
	t.advanceCheckpoint(e)
}
