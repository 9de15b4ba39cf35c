// Package agenda runs the events of a simulation in order of simulated time,
// which is counted in steps.
package agenda

import "container/heap"

// Agenda is a queue of future events. The zero value is empty and at step 0. It
// is not safe for concurrent use.
type Agenda struct {
	events      events
	eventsAdded int
	now         int
	eventsRun   int
}

type event struct {
	dueStep int
	// seq is the number of the event, so that events of the same step run in
	// the order in which they were added.
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if e[i].dueStep != e[j].dueStep {
		return e[i].dueStep < e[j].dueStep
	}
	return e[i].seq < e[j].seq
}

// Push adds an event for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Now returns the current step.
func (a *Agenda) Now() int { return a.now }

// EventsRun returns the number of events that have run.
func (a *Agenda) EventsRun() int { return a.eventsRun }

// Schedule adds an event at a step, or at the current step if that one is in the past.
func (a *Agenda) Schedule(step int, do func()) {
	a.eventsAdded++
	heap.Push(&a.events, event{dueStep: max(step, a.now), seq: a.eventsAdded, do: do})
}

// ScheduleEvery adds an event that runs at a step and then every interval steps.
func (a *Agenda) ScheduleEvery(step, interval int, do func()) {
	a.Schedule(step, func() {
		do()
		a.ScheduleEvery(step+interval, interval, do)
	})
}

// Run runs the events before the step until. Before each event it calls advance
// with the event's step, while Now still returns the step of the previous event.
func (a *Agenda) Run(until int, advance func(step int)) {
	for len(a.events) > 0 && a.events[0].dueStep < until {
		e := heap.Pop(&a.events).(event)
		advance(e.dueStep)
		a.now = e.dueStep
		a.eventsRun++
		e.do()
	}
}
