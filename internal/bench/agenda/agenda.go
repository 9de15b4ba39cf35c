// Package agenda runs the events of a simulation in the order of their time,
// which is counted in steps.
package agenda

import "container/heap"

// Agenda holds the events to come. The zero value is empty and stands at step
// 0. It is not safe for concurrent use.
type Agenda struct {
	events events
	added  int
	now    int
	done   int
}

type event struct {
	at int
	// order keeps events of the same step in the order in which they were added.
	order int
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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

// Done returns the number of events that were run.
func (a *Agenda) Done() int { return a.done }

// At adds an event at a step, at the current one when that is in the past.
func (a *Agenda) At(step int, do func()) {
	a.added++
	heap.Push(&a.events, event{at: max(step, a.now), order: a.added, do: do})
}

// Every adds an event at a step and then again after every interval of steps.
func (a *Agenda) Every(step, interval int, do func()) {
	a.At(step, func() {
		do()
		a.Every(step+interval, interval, do)
	})
}

// Run runs the events before a step. Before each it calls advance with the
// event's step, while Now still returns that of the event before.
func (a *Agenda) Run(until int, advance func(step int)) {
	for len(a.events) > 0 && a.events[0].at < until {
		e := heap.Pop(&a.events).(event)
		advance(e.at)
		a.now = e.at
		a.done++
		e.do()
	}
}
