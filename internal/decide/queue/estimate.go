package queue

import "time"

const (
	// defaultCost is the service time of a kind that declares none.
	defaultCost = time.Second
	// minGain is the weight of one new service time in the estimate.
	minGain = 0.05
	// minObservations is the number of service times after which an estimate goes
	// before the declaration.
	minObservations = 5
)

type meanCost struct {
	mean  float64
	count int
}

// Estimator learns the service time of each kind, since declared ones are
// wrong. The zero value knows nothing.
type Estimator struct {
	kinds map[string]meanCost
}

// Observe adds a service time.
func (e *Estimator) Observe(kind string, took time.Duration) {
	if e.kinds == nil {
		e.kinds = make(map[string]meanCost)
	}
	k := e.kinds[kind]
	k.count++
	gain := max(minGain, 1/float64(k.count))
	k.mean += gain * (float64(took) - k.mean)
	e.kinds[kind] = k
}

// Learned returns the learnt service time, and false while too few are known.
func (e *Estimator) Learned(kind string) (time.Duration, bool) {
	k := e.kinds[kind]
	return max(time.Duration(k.mean), 1), k.count >= minObservations
}

// Cost returns the expected service time of a kind that declares one.
func (e *Estimator) Cost(kind string, declared time.Duration) time.Duration {
	if learnt, ok := e.Learned(kind); ok {
		return learnt
	}
	if declared > 0 {
		return declared
	}
	return defaultCost
}
