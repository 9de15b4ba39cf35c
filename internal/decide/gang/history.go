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
	historyMin = 4
	// historyQuantile is the quantile of the ratios that corrects.
	historyQuantile = 0.8
	// leastExpected is the least part of a declared run time that is expected
	// of a job that has outrun its declaration.
	leastExpected = 0.1
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

func (h *history) add(r float64) {
	if len(h.ratios) < historySize {
		h.ratios = append(h.ratios, r)
	} else {
		h.ratios[h.next] = r
		h.next = (h.next + 1) % historySize
	}
	h.ratio = 1
	if len(h.ratios) >= historyMin {
		sorted := slices.Sorted(slices.Values(h.ratios))
		h.ratio = sorted[int(historyQuantile*float64(len(sorted)-1))]
	}
}

// learn takes the run time of a job that ended.
func (s *State) learn(js *jobState, now time.Time) {
	ran := js.full - js.DeclaredRunTime + now.Sub(js.started)
	if js.full <= 0 || ran <= 0 {
		return
	}
	a := js.account
	if a.history == nil {
		a.history = make(map[string]*history)
	}
	if a.history[js.Kind] == nil {
		a.history[js.Kind] = &history{}
	}
	a.history[js.Kind].add(float64(ran) / float64(js.full))
	s.freshenAll(a)
}

// expected returns the corrected run time that is left at the last start.
func (s *State) expected(js *jobState) time.Duration {
	full := js.full
	if h := js.account.history[js.Kind]; h != nil {
		full = time.Duration(float64(full) * h.ratio)
	}
	kept := js.full - js.DeclaredRunTime
	return max(full-kept, time.Duration(leastExpected*float64(js.full)))
}

// end returns the expected end of a running job. A job that has outrun its
// expectation is expected to run as long again.
func (s *State) end(js *jobState) time.Time {
	end := js.started.Add(s.expected(js))
	if end.After(s.now) {
		return end
	}
	return s.now.Add(max(s.now.Sub(js.started), time.Second))
}
