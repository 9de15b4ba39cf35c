// Package route chooses the runner of a request.
package route

// Runner is what the choice knows of a runner.
type Runner struct {
	ID         string
	Service    string
	DataCentre string
	Region     string
	// Limit is the number of requests that this VM may have there at once.
	Limit int
	// InUse is the number of requests that this VM has there.
	InUse int
	// Leaving and Ejected runners get no new work.
	Leaving bool
	Ejected bool
}

// Pick returns the index of the least loaded runner that serves a service and
// has room, or -1.
func Pick(runners []Runner, service string, tried map[string]bool) int {
	best := -1
	for i, r := range runners {
		if r.Service != service || r.Leaving || r.Ejected || r.InUse >= r.Limit || tried[r.ID] {
			continue
		}
		if best < 0 || r.InUse < runners[best].InUse {
			best = i
		}
	}
	return best
}
