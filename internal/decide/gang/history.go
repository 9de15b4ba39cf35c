package gang

import (
	"slices"
	"time"
)

const (
	// historySize is the number of run times that are kept for each account
	// and kind.
	historySize = 32
	// historyMin is the number of run times from which on declarations are
	// corrected.
	minHistory = 4
	// historyQuantile is the quantile of the ratios that corrects.
	historyQuantile = 0.8
	// leastExpected is the least part of a declared run time that is expected
	// of a job that has outrun its declaration.
	minExpectedShare = 0.1
)

// history holds the last ratios of real to declared run times. The correction
// by the user's own history follows Tsafrir, Etsion and Feitelson,
// "Backfilling using system-generated predictions" (IEEE TPDS 2007).
type history struct {
	ratios []float64
	next   int
	// ratio is the corrected quantile; 1 until there are enough run times.
	ratio float64
}

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

// learn takes the run time of a job that ended.
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

// expected returns the corrected run time that is left at the last start.
func (s *State) expectedRunTime(js *jobState) time.Duration {
	totalRunTime := js.totalRunTime
	if h := js.account.history[js.Kind]; h != nil {
		totalRunTime = time.Duration(float64(totalRunTime) * h.ratio)
	}
	kept := js.totalRunTime - js.DeclaredRunTime
	return max(totalRunTime-kept, time.Duration(minExpectedShare*float64(js.totalRunTime)))
}

// end returns the expected end of a running job. A job that has outrun its
// expectation is expected to run as long again.
func (s *State) expectedEnd(js *jobState) time.Time {
	expectedEnd := js.started.Add(s.expectedRunTime(js))
	if expectedEnd.After(s.now) {
		return expectedEnd
	}
	return s.now.Add(max(s.now.Sub(js.started), time.Second))
}
