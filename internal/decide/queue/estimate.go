package queue

import "time"

const (
	// defaultCost is the service time assumed for a kind that declares none.
	defaultCost = time.Second
	// minGain is the least weight of a new service time in the estimate.
	minGain = 0.05
	// minObservations is the number of service times from which on an estimate
	// takes precedence over the declaration.
	minObservations = 5
)

type meanCost struct {
	mean  float64
	count int
}

// Estimator estimates the service time of each kind from observed ones, since
// declared ones are wrong. The zero value has no observations.
type Estimator struct {
	kinds map[string]meanCost
}

// Observe records a service time.
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

// Learned returns the estimated service time, and false while there are too few
// observations.
func (e *Estimator) Learned(kind string) (time.Duration, bool) {
	k := e.kinds[kind]
	return max(time.Duration(k.mean), 1), k.count >= minObservations
}

// Cost returns the expected service time of a kind: the estimate if there is
// one, else the declared time, else a default.
func (e *Estimator) Cost(kind string, declared time.Duration) time.Duration {
	if learned, ok := e.Learned(kind); ok {
		return learned
	}
	if declared > 0 {
		return declared
	}
	return defaultCost
}
