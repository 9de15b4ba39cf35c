// Package model has the plain types that the background tasks of a daemon on
// the platform exchange: workers, jobs and the configuration of the operators.
package model

import (
	"slices"
	"time"
)

// Shape is an amount of the resources of a worker.
type Shape struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Fits reports whether s fits in free.
func (s Shape) Fits(free Shape) bool {
	return s.MilliCPU <= free.MilliCPU && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// maxResource is the largest amount of a resource that a worker may have. The sum over all
// workers of a fleet stays within an int64.
const maxResource = 1 << 40

// InRange reports whether s may be the capacity of a worker.
func (s Shape) InRange() bool {
	for _, n := range []int64{s.MilliCPU, s.MemoryMB, s.Accelerators} {
		if n < 0 || n > maxResource {
			return false
		}
	}
	return true
}

// Plus returns the sum of s and o.
func (s Shape) Plus(o Shape) Shape {
	return Shape{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of s and o.
func (s Shape) Minus(o Shape) Shape {
	return Shape{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// acceleratorCores is the weight of an accelerator in cores; the price list of
// the platform has the same ratio.
const acceleratorCores = 8

// Cores returns the weight of a shape in cores. Memory has no weight.
func (s Shape) Cores() float64 {
	return float64(s.MilliCPU)/1000 + acceleratorCores*float64(s.Accelerators)
}

// Max returns the larger of s and o for each resource.
func (s Shape) Max(o Shape) Shape {
	return Shape{max(s.MilliCPU, o.MilliCPU), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// ShareOf returns the largest share of a capacity that s takes of any resource.
func (s Shape) ShareOf(capacity Shape) float64 {
	share := 0.0
	for _, r := range [][2]int64{{s.MilliCPU, capacity.MilliCPU}, {s.MemoryMB, capacity.MemoryMB}, {s.Accelerators, capacity.Accelerators}} {
		if r[1] > 0 {
			share = max(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}

// Worker is one incarnation of a worker.
type Worker struct {
	// ID is unique among the workers that are up.
	ID string
	// Incarnation is the start time of the worker process in Unix milliseconds.
	// Together with ID it identifies the incarnation.
	Incarnation int64 `json:"Born"`
	Service     string
	Address     string
	Rack        string
	// DataCentre is empty if it is not known.
	DataCentre string
	Labels     []string
	Capacity   Shape
	// Draining workers get no new work.
	Draining bool
	// RegisteredAt is the reading of the worker's clock when it registered this; 0 if it is
	// not known.
	RegisteredAt time.Duration
	// Revision is the store revision of the registration.
	Revision int64 `json:"-"`
	// TimeLeft is the least time that a draining worker has left.
	TimeLeft time.Duration `json:"Leaves"`
	// ColdTime is how long the worker is still slow after its start.
	ColdTime time.Duration
}

// Evacuation is an order of the operators that nothing may start in a data centre.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision of the order.
	Revision int64
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks int   `json:"tasks"`
	Shape Shape `json:"shape"`
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Gang steps run all tasks together or none.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the data; empty for none.
	Rack string `json:"rack,omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 for no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Checkpoints says that a stopped task can resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// MaxUnavailable bounds the long-running tasks that orders may make
	// unavailable at the same time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// BestEffortCPU says that the CPU share of a task does not count against
	// the capacity of the worker.
	BestEffortCPU bool `json:"fills,omitempty"`
	// TailLatencyTarget bounds the tail latency of a task that serves requests;
	// 0 for no bound.
	TailLatencyTarget time.Duration `json:"tail_target,omitempty"`
	Image             string        `json:"image,omitempty"`
}

// CountedShape returns the shape that counts against the capacity of the worker
// for each task of the step.
func (s *Step) CountedShape() Shape {
	c := s.Shape
	if s.BestEffortCPU {
		c.MilliCPU = 0
	}
	return c
}

// Job is a job as a caller submitted it.
type Job struct {
	// ID has 16 hexadecimal digits.
	ID            string `json:"id"`
	Specification string `json:"specification"`
	Steps         []Step `json:"steps"`
	// Occurrences is the number of times that a scheduled job runs; 0 for a job
	// without a schedule.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue is the Unix time of the first occurrence in milliseconds.
	FirstDue int64 `json:"first_due,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"interval,omitempty"`
}

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Terminal reports whether a state is terminal.
func (s JobState) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue is a route of the configuration: a queue of jobs for one service.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Jobs of priority 0 are scheduled first and may pre-empt the others.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"max_attempts"`
	// The objective of a job is ObjectiveFactor times its critical path plus
	// ObjectiveConstant.
	ObjectiveFactor   float64       `json:"stretch"`
	ObjectiveConstant time.Duration `json:"aim"`
	// Public queues need no key.
	Public bool `json:"public"`
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators that belong to its
	// urgent jobs at all times.
	GuaranteedAccelerators int64
}

// Config is the configuration of the operators. It is immutable.
type Config struct {
	// Version only increases.
	Version  int64
	Queues   []Queue
	Accounts []Account
	// MaxBodyBytes bounds a request body, in bytes; 0 for no bound.
	MaxBodyBytes int64
}

// Queue returns the queue with a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Account returns the account with a name, or nil.
func (c *Config) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// AccountByKey returns the account that has a key, or nil.
func (c *Config) AccountByKey(key string) *Account {
	for i := range c.Accounts {
		if key != "" && slices.Contains(c.Accounts[i].Keys, key) {
			return &c.Accounts[i]
		}
	}
	return nil
}

// PlannerSummary is what the planner reports to the entries for their
// responses.
type PlannerSummary struct {
	// Pending is the number of accepted jobs of which no task has started, by
	// queue.
	Pending map[string]int64
	// WorkerClasses has the classes of workers.
	WorkerClasses []WorkerClass
	// JobMemory is the memory in bytes that the jobs take at the planner, and MaxJobMemory
	// what they may take; 0 for no bound. AccountMemory has the former by account.
	JobMemory, MaxJobMemory int64
	AccountMemory           map[string]int64
}

// WorkerClass is the capacity of a kind of worker of a service.
type WorkerClass struct {
	Service  string
	Capacity Shape
}
