package gang

import "time"

const (
	// failuresToQuarantine is the number of distinct jobs whose start fails on
	// a worker before it is quarantined.
	failuresToQuarantine = 3
	// failuresToFailJob is the number of distinct healthy workers on which a
	// job's start fails before the job fails.
	failuresToFailJob = 3
	// maxQuarantinedShare bounds the share of the workers that is quarantined.
	maxQuarantinedShare = 0.1
	// firstProbeDelay is the time until a quarantined worker gets a job again.
	// It doubles with each failed probe.
	firstProbeDelay = 10 * time.Second
	// maxProbeDelay bounds the time between probes.
	maxProbeDelay = time.Hour
	// avoidDuration is the time for which a job avoids a worker on which its
	// start failed.
	avoidDuration = 5 * time.Second
)

// avoidance keeps a job from a worker on which its start failed. It expires,
// since a job may need every worker of the fleet.
type avoidance struct {
	js    *jobState
	n     *node
	until time.Time
}

// health is the record of failed starts on a worker.
type health struct {
	// jobs are the distinct jobs whose start failed since the last success.
	jobs        map[string]bool
	quarantined bool
	// probing reports that the worker was released for a probe and no job has
	// ended on it since.
	probing bool
	// probeAt is when the quarantine ends.
	probeAt time.Time
	// probeDelay is the length of the quarantine.
	probeDelay time.Duration
}

// StartFailed attributes a failed start of a job to a worker. A worker on which
// distinct jobs fail is quarantined, as long as the share of quarantined
// workers stays bounded. A job that fails on distinct healthy workers gets a
// Fail order.
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
	if n.health.probing || len(n.health.jobs) >= failuresToQuarantine {
		s.quarantine(n, now)
	}
}

// recordFailedStart records a failed start of a job and counts the healthy
// workers on which it failed: those on which no other job has failed since the
// last success.
func (s *State) recordFailedStart(js *jobState, n *node) {
	if js.failedOn == nil {
		js.failedOn = make(map[string]bool)
	}
	js.failedOn[n.ID] = true
	s.avoidWorker(js, n)
	healthy := 0
	for id := range js.failedOn {
		if w := s.fleet.byID[id]; w != nil && !w.health.quarantined && len(w.health.jobs) == 1 {
			healthy++
		}
	}
	if healthy >= failuresToFailJob && !js.unstartable {
		js.unstartable = true
		s.toFail = append(s.toFail, js)
	}
}

// avoidWorker has a job avoid a worker for avoidDuration.
func (s *State) avoidWorker(js *jobState, n *node) {
	if js.avoidedWorkers == nil {
		js.avoidedWorkers = make(map[string]bool)
	}
	js.avoidedWorkers[n.ID] = true
	s.avoidances = append(s.avoidances, avoidance{js: js, n: n, until: s.now.Add(avoidDuration)})
}

// expireAvoidances ends the avoidances whose time is over.
func (s *State) expireAvoidances() {
	remaining := s.avoidances[:0]
	for _, a := range s.avoidances {
		if s.now.Before(a.until) {
			remaining = append(remaining, a)
			continue
		}
		delete(a.js.avoidedWorkers, a.n.ID)
		s.nodeChanged(a.n)
	}
	s.avoidances = remaining
}

// quarantine quarantines a worker unless the bound on quarantined workers is
// reached.
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

// releaseForProbe releases the workers whose quarantine is over, to be probed
// with a job.
func (s *State) releaseForProbe() {
	remaining := s.quarantined[:0]
	for _, n := range s.quarantined {
		if s.now.Before(n.health.probeAt) {
			remaining = append(remaining, n)
			continue
		}
		n.health.quarantined, n.health.probing = false, true
		s.nodeChanged(n)
	}
	s.quarantined = remaining
}

// recordSuccess clears the failures of the workers of a job that ran to its
// end.
func (s *State) recordSuccess(js *jobState) {
	for _, sl := range js.slots {
		if n, ok := s.fleet.byID[sl.Worker]; ok {
			n.health = health{quarantined: n.health.quarantined, probeAt: n.health.probeAt}
		}
	}
}
