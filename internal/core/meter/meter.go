// Package meter holds the counters, gauges and histograms of a process in a
// go-metrics registry and writes them as text.
package meter

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Meter is a set of named counters, gauges and histograms. The zero value is
// ready to use. A Meter is safe for concurrent use.
type Meter struct {
	once sync.Once
	r    metrics.Registry
}

func (m *Meter) registry() metrics.Registry {
	m.once.Do(func() { m.r = metrics.NewRegistry() })
	return m.r
}

// Inc adds one to a counter.
func (m *Meter) Inc(name string) { m.Add(name, 1) }

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry()).Inc(n)
}

// sampleSize is the number of values that a histogram samples.
const sampleSize = 512

// Time adds a duration to a histogram of milliseconds.
func (m *Meter) Time(name string, d time.Duration) {
	h := m.registry().GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	h.(metrics.Histogram).Update(d.Milliseconds())
}

// Set sets a gauge.
func (m *Meter) Set(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry()).Update(v)
}

// Count returns the value of a counter or gauge, or 0 if it was never used.
func (m *Meter) Count(name string) int64 {
	return value(m.registry().Get(name))
}

// Snapshot returns all values by name. A histogram has its count, median, 99th
// percentile and maximum, each under the histogram's name with a suffix.
func (m *Meter) Snapshot() map[string]int64 {
	all := make(map[string]int64)
	m.registry().Each(func(name string, x any) {
		h, ok := x.(metrics.Histogram)
		if !ok {
			all[name] = value(x)
			return
		}
		all[name+"_count"] = h.Count()
		for suffix, v := range map[string]float64{"_ms_p50": 0.5, "_ms_p99": 0.99} {
			all[name+suffix] = int64(h.Percentile(v))
		}
		all[name+"_ms_max"] = h.Max()
	})
	return all
}

// WriteText writes one "name value" line per value, sorted by name.
func (m *Meter) WriteText(w io.Writer) error {
	all := m.Snapshot()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, all[name]); err != nil {
			return err
		}
	}
	return nil
}

func value(x any) int64 {
	switch v := x.(type) {
	case metrics.Counter:
		return v.Count()
	case metrics.Gauge:
		return v.Value()
	}
	return 0
}
