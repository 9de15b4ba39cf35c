package planner

import "github.com/dogwoodworks/dogwoodworks/internal/fleet/model"

const (
	// jobMemory, stepMemory and unitMemory are the memory that a job, a step of it and a
	// unit take in a term, in bytes, with the maps that hold them; gangTaskMemory is that of
	// a task in a gang.
	jobMemory      = 2 << 10
	stepMemory     = 512
	unitMemory     = 1280
	gangTaskMemory = 256
	// textFactor is the memory of a byte of text, which a record in transit has again.
	textFactor = 2
)

// JobMemory returns the memory in bytes that a job takes at the planner until it has ended.
// It grows with the tasks of all occurrences, not with the size of the
// submission.
func JobMemory(j *model.Job) int64 {
	text, units := int64(len(j.Specification)), int64(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		text += int64(len(s.Label) + len(s.Rack) + len(s.Image))
		if s.Gang {
			units += unitMemory + int64(s.Tasks)*gangTaskMemory
		} else {
			units += int64(s.Tasks) * unitMemory
		}
	}
	return jobMemory + int64(len(j.Steps))*stepMemory + textFactor*text + units*int64(max(1, j.Occurrences))
}

// jobMemory returns the memory that the jobs of the term take, in bytes.
func (t *term) jobMemory() int64 {
	sum := int64(0)
	for _, j := range t.jobs {
		sum += j.memory
	}
	return sum
}

// compactEnded releases what the jobs that have ended no longer need.
func (t *term) compactEnded() {
	for _, j := range t.jobs {
		if !j.compacted && j.logged && j.isFinal() {
			j.compact()
		}
	}
}

// compact releases the units and the texts of a job whose state is final. Its record stays,
// and the shapes of its tasks: a worker may still list a run that was abandoned.
func (j *job) compact() {
	spec := *j.spec
	spec.Job.Specification, spec.Job.Steps = "", make([]model.Step, len(j.spec.Job.Steps))
	for i := range spec.Job.Steps {
		s := &j.spec.Job.Steps[i]
		spec.Job.Steps[i] = model.Step{Tasks: s.Tasks, Shape: s.Shape, Gang: s.Gang, BestEffortCPU: s.BestEffortCPU}
	}
	j.compacted, j.spec, j.units, j.unitList = true, &spec, nil, nil
	j.lostWork, j.work, j.bestRates, j.kinds, j.times = nil, nil, nil, nil, nil
	j.memory = jobMemory + int64(len(spec.Job.Steps))*stepMemory
}
