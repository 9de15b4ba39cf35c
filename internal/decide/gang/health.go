package gang

import "time"

const (
	// badStarts is the number of distinct jobs whose start fails on a worker
	// before it is quarantined.
	quarantineFailures = 3
	// soundFailures is the number of distinct sound workers on which a job's
	// start fails before the job ends as failed.
	healthyFailures = 3
	// quarantineShare bounds the quarantined part of the workers.
	maxQuarantinedShare = 0.1
	// firstProbe is the time until a quarantined worker gets its first job
	// again; it doubles with each failed probe.
	firstProbeDelay = 10 * time.Second
	// lastProbe bounds the time between probes.
	maxProbeDelay = time.Hour
	// avoidTime is the time in which a job avoids a worker where its start
	// failed.
	avoidDuration = 5 * time.Second
)

// avoidance keeps a job from a worker where its start failed. It ends, since a
// job may need every worker that there is.
type avoidance struct {
	js    *jobState
	n     *node
	until time.Time
}

// health is what failed starts say of a worker.
type health struct {
	// jobs are the distinct jobs that failed to start since the last success.
	jobs        map[string]bool
	quarantined bool
	// probing says that the worker was let back and has not succeeded yet.
	probing    bool
	probeAt    time.Time
	probeDelay time.Duration
}

// StartFailed attributes a failed start of a job to a worker. A worker on which
// distinct jobs fail is quarantined, within a bounded share of the workers; a
// job that fails on distinct sound workers gets a Fail order.
func (s *State) StartFailed(jobID, workerID string, now time.Time) {
	n, ok := s.fleet.byID[workerID]
	if !ok {
		return
	}
	if n.health.jobs == nil {
		n.health.jobs = make(map[string]bool)
	}
	n.health.jobs[jobID] = true
	if js, ok := s.jobs[jobID]; ok {
		s.recordFailedStart(js, n)
	}
	if n.health.probing || len(n.health.jobs) >= quarantineFailures {
		s.quarantine(n, now)
	}
}

// failedStart counts the sound workers on which a job failed: those where no
// other job has failed since the last success.
func (s *State) recordFailedStart(js *jobState, n *node) {
	if js.failedOn == nil {
		js.failedOn = make(map[string]bool)
	}
	js.failedOn[n.ID] = true
	s.avoidWorker(js, n)
	sound := 0
	for id := range js.failedOn {
		if w := s.fleet.byID[id]; w != nil && !w.health.quarantined && len(w.health.jobs) == 1 {
			sound++
		}
	}
	if sound >= healthyFailures && !js.unstartable {
		js.unstartable = true
		s.toFail = append(s.toFail, js)
	}
}

func (s *State) avoidWorker(js *jobState, n *node) {
	if js.avoidedWorkers == nil {
		js.avoidedWorkers = make(map[string]bool)
	}
	js.avoidedWorkers[n.ID] = true
	s.avoidances = append(s.avoidances, avoidance{js: js, n: n, until: s.now.Add(avoidDuration)})
}

// forgive ends the avoidances whose time is over.
func (s *State) expireAvoidances() {
	kept := s.avoidances[:0]
	for _, a := range s.avoidances {
		if s.now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		delete(a.js.avoidedWorkers, a.n.ID)
		s.nodeChanged(a.n)
	}
	s.avoidances = kept
}

func (s *State) quarantine(n *node, now time.Time) {
	if n.health.quarantined || len(s.quarantined) >= max(1, int(maxQuarantinedShare*float64(len(s.fleet.nodes)))) {
		return
	}
	n.health.quarantined, n.health.probing = true, false
	n.health.probeDelay = min(max(2*n.health.probeDelay, firstProbeDelay), maxProbeDelay)
	n.health.probeAt = now.Add(n.health.probeDelay)
	s.quarantined = append(s.quarantined, n)
	s.nodeChanged(n)
}

// probe lets back the workers whose quarantine has run out.
func (s *State) releaseForProbe() {
	kept := s.quarantined[:0]
	for _, n := range s.quarantined {
		if s.now.Before(n.health.probeAt) {
			kept = append(kept, n)
			continue
		}
		n.health.quarantined, n.health.probing = false, true
		s.nodeChanged(n)
	}
	s.quarantined = kept
}

// succeeded clears the workers of a job that ran to its end.
func (s *State) recordSuccess(js *jobState) {
	for _, sl := range js.slots {
		if n, ok := s.fleet.byID[sl.Worker]; ok {
			n.health = health{quarantined: n.health.quarantined, probeAt: n.health.probeAt}
		}
	}
}
