package gang

import (
	"slices"
	"time"
)

const (
	// historySize is the number of run times that are kept for each account and
	// kind.
	historySize = 32
	// minHistory is the number of run times from which on declarations are
	// corrected.
	minHistory = 4
	// historyQuantile is the quantile of the ratios that is used as the
	// correction.
	historyQuantile = 0.8
	// minExpectedShare is the least share of the declared run time that is
	// expected of a job that has exceeded its declaration.
	minExpectedShare = 0.1
)

// history holds the latest ratios of actual to declared run times. The
// correction by the user's own history follows Tsafrir, Etsion and Feitelson,
// "Backfilling using system-generated predictions" (IEEE TPDS 2007).
type history struct {
	ratios []float64
	// next is the index of the oldest ratio once ratios is full.
	next int
	// ratio is the quantile of the ratios; 1 until there are enough of them.
	ratio float64
}

// addRatio adds the ratio of one job.
func (h *history) addRatio(r float64) {
	if len(h.ratios) < historySize {
		h.ratios = append(h.ratios, r)
	} else {
		h.ratios[h.next] = r
		h.next = (h.next + 1) % historySize
	}
	h.ratio = 1
	if len(h.ratios) >= minHistory {
		sorted := slices.Sorted(slices.Values(h.ratios))
		h.ratio = sorted[int(historyQuantile*float64(len(sorted)-1))]
	}
}

// recordRunTime adds the run time of a job that ended to the account's history.
func (s *State) recordRunTime(js *jobState, now time.Time) {
	ran := js.totalRunTime - js.DeclaredRunTime + now.Sub(js.started)
	if js.totalRunTime <= 0 || ran <= 0 {
		return
	}
	a := js.account
	if a.history == nil {
		a.history = make(map[string]*history)
	}
	if a.history[js.Kind] == nil {
		a.history[js.Kind] = &history{}
	}
	a.history[js.Kind].addRatio(float64(ran) / float64(js.totalRunTime))
	s.markAllChanged(a)
}

// expectedRunTime returns the corrected run time that was left at the last
// start.
func (s *State) expectedRunTime(js *jobState) time.Duration {
	totalRunTime := js.totalRunTime
	if h := js.account.history[js.Kind]; h != nil {
		totalRunTime = time.Duration(float64(totalRunTime) * h.ratio)
	}
	done := js.totalRunTime - js.DeclaredRunTime
	return max(totalRunTime-done, time.Duration(minExpectedShare*float64(js.totalRunTime)))
}

// expectedEnd returns the expected end of a running job. A job that has
// exceeded its expected run time is expected to run as long again.
func (s *State) expectedEnd(js *jobState) time.Time {
	expectedEnd := js.started.Add(s.expectedRunTime(js))
	if expectedEnd.After(s.now) {
		return expectedEnd
	}
	return s.now.Add(max(s.now.Sub(js.started), time.Second))
}
