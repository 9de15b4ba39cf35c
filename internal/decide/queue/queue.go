// Package queue orders waiting requests.
package queue

import "time"

// Item is one waiting request.
type Item struct {
	ID      string
	Account string
	Service string
	// Rank is the class's order; 0 goes first.
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	// Cost is the expected service time.
	Cost time.Duration
}

// Queue orders items. The zero value is an empty queue.
type Queue struct {
	items []Item
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item.
func (q *Queue) Push(it Item) { q.items = append(q.items, it) }

// Pop removes and returns the item that goes first.
func (q *Queue) Pop(_ time.Time) (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	first := 0
	for i, it := range q.items {
		if it.Rank < q.items[first].Rank {
			first = i
		}
	}
	it := q.items[first]
	q.Remove(it.ID)
	return it, true
}

// Remove removes an item and reports whether it was there.
func (q *Queue) Remove(id string) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
