// Package model holds the plain types that the duties of a daemon on the
// platform exchange: workers, jobs and the operators' configuration.
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

// Fits reports whether s fits in room.
func (s Shape) Fits(room Shape) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Plus returns the sum of two shapes.
func (s Shape) Plus(o Shape) Shape {
	return Shape{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns s less o.
func (s Shape) Minus(o Shape) Shape {
	return Shape{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// acceleratorCores is the number of cores that an accelerator weighs as much
// as; the platform's price list has the same ratio.
const acceleratorCores = 8

// Cores returns the weight of a shape in cores.
func (s Shape) Cores() float64 {
	return float64(s.MilliCPU)/1000 + acceleratorCores*float64(s.Accelerators)
}

// Worker is one life of a worker.
type Worker struct {
	// ID is unique among the workers that are up.
	ID string
	// Incarnation is the Unix time of its start in milliseconds; together with ID it
	// names one life.
	Incarnation int64 `json:"Born"`
	Service     string
	Address     string
	Rack        string
	Labels      []string
	Capacity    Shape
	// Draining workers get no new work.
	Draining bool
	// TimeLeft is the least time that a draining worker has left.
	TimeLeft time.Duration `json:"Leaves"`
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
	// Label must be on the worker; empty for none.
	Label string `json:"label,omitempty"`
	// Rack is where the data lies; empty for none.
	Rack string `json:"rack,omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 for no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Checkpoints says that a stopped task can resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// MaxUnavailable bounds the lasting tasks that orders may take away at a time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// BestEffortCPU says that the processor share is not counted against the worker.
	BestEffortCPU bool `json:"fills,omitempty"`
	// TailLatencyTarget bounds the tail latency of a task that serves; 0 for none.
	TailLatencyTarget time.Duration `json:"tail_target,omitempty"`
	Image             string        `json:"image,omitempty"`
}

// CountedShape returns the shape that a task of the step takes from its worker.
func (s *Step) CountedShape() Shape {
	c := s.Shape
	if s.BestEffortCPU {
		c.MilliCPU = 0
	}
	return c
}

// Job is what a caller handed in.
type Job struct {
	// ID has 16 hexadecimal digits.
	ID            string `json:"id"`
	Specification string `json:"specification"`
	Steps         []Step `json:"steps"`
	// Occurrences is how often a timed job runs; 0 for a job without times.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue is the Unix time of the first occurrence in milliseconds.
	FirstDue int64 `json:"first_due,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"interval,omitempty"`
}

// JobState is what a caller is told of a job.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Terminal reports whether a state is final.
func (s JobState) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue is a route of the configuration: a queue of jobs for one service.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority 0 goes first and may pre-empt the others.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"max_attempts"`
	// ObjectiveFactor times the longest chain of work, plus Aim, is the objective.
	ObjectiveFactor   float64       `json:"stretch"`
	ObjectiveConstant time.Duration `json:"aim"`
	// Public queues need no key.
	Public bool `json:"public"`
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedAccelerators accelerators belong to its urgent jobs at all times.
	GuaranteedAccelerators int64
}

// Config is the operators' configuration. It is never changed once made.
type Config struct {
	// Version only rises.
	Version  int64
	Queues   []Queue
	Accounts []Account
	// MaxBodyBytes bounds a request body; 0 for no bound.
	MaxBodyBytes int64
}

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Account returns the account of a name, or nil.
func (c *Config) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// AccountByKey returns the account that holds a key, or nil.
func (c *Config) AccountByKey(key string) *Account {
	for i := range c.Accounts {
		if key != "" && slices.Contains(c.Accounts[i].Keys, key) {
			return &c.Accounts[i]
		}
	}
	return nil
}

// PlannerSummary is what the planner tells the entries for their answers.
type PlannerSummary struct {
	// Pending counts the accepted jobs of which no task has started, by queue.
	Pending map[string]int64
	// WorkerClasses lists the kinds of workers.
	WorkerClasses []WorkerClass
}

// WorkerClass is the capacity of a kind of worker of a service.
type WorkerClass struct {
	Service  string
	Capacity Shape
}
