package fairqueue

import (
	"slices"
	"time"
)

const levels = 10

// Item is one waiting request.
type Item struct {
	ID       uint64
	Flow     string // caller and rule
	Priority int    // from 0 to 9; higher goes first
	Arrived  time.Time
	Deadline time.Time
	Need     time.Duration // time that the request will probably take once it is sent
	StartBy  time.Time     // after which its answer loses worth; zero if it does not
}

// patience is the time that the item can wait at most.
func (i Item) patience() time.Duration {
	if i.StartBy.IsZero() {
		return i.Deadline.Sub(i.Arrived)
	}
	return i.StartBy.Sub(i.Arrived)
}

// late reports whether the item can no longer be answered in time.
func (i Item) late(now time.Time) bool {
	return now.Add(i.Need).After(i.Deadline)
}

// Queue serves higher priorities first, flows in turn, and within a flow the oldest first. While a queue stands, the newest
// go first, and flows with few items before those with many.
type Queue struct {
	Target   float64       // share of the time that it can wait at most which an item may wait
	Interval time.Duration // longer waits for this long mean that the queue stands

	levels   [levels]level
	length   int
	aboveAt  time.Time // when the wait first exceeded the target; zero while it does not
	standing bool
}

type level struct {
	flows []*flow
	next  int
}

type flow struct {
	name  string
	items []Item
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return q.length
}

// Ahead returns the number of items that are served before a new one of the priority.
func (q *Queue) Ahead(priority int) int {
	ahead := 0
	for p := priority; p < levels; p++ {
		if q.standing && p == priority {
			continue
		}
		for _, f := range q.levels[p].flows {
			ahead += len(f.items)
		}
	}
	return ahead
}

// Push adds an item.
func (q *Queue) Push(item Item) {
	l := &q.levels[item.Priority]
	q.length++
	for _, f := range l.flows {
		if f.name == item.Flow {
			f.items = append(f.items, item)
			return
		}
	}
	l.flows = append(l.flows, &flow{name: item.Flow, items: []Item{item}})
}

// Pop removes the item to serve next.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.observe(now)
	return q.Take()
}

// Take removes the item that Peek names.
func (q *Queue) Take() (Item, bool) {
	for p := levels - 1; p >= 0; p-- {
		if l := &q.levels[p]; len(l.flows) > 0 {
			q.length--
			return l.pop(q.standing), true
		}
	}
	return Item{}, false
}

// Peek returns the item that Take would remove.
func (q *Queue) Peek() (Item, bool) {
	for p := levels - 1; p >= 0; p-- {
		l := &q.levels[p]
		if len(l.flows) == 0 {
			continue
		}
		flow, place := l.choose(q.standing)
		return l.flows[flow].items[place], true
	}
	return Item{}, false
}

// choose returns the places of the next flow and of its next item.
func (l *level) choose(newest bool) (flow, place int) {
	if !newest {
		return l.next % len(l.flows), 0
	}
	for i, f := range l.flows {
		best := l.flows[flow]
		if len(f.items) < len(best.items) || len(f.items) == len(best.items) && f.last().Arrived.After(best.last().Arrived) {
			flow = i
		}
	}
	return flow, len(l.flows[flow].items) - 1
}

func (f *flow) last() Item {
	return f.items[len(f.items)-1]
}

func (l *level) pop(newest bool) Item {
	chosen, place := l.choose(newest)
	f := l.flows[chosen]
	item := f.items[place]
	f.items = slices.Delete(f.items, place, place+1)
	if !newest {
		l.next = chosen + 1
	}
	if len(f.items) == 0 {
		l.flows = slices.Delete(l.flows, chosen, chosen+1)
		if l.next > chosen {
			l.next--
		}
	}
	return item
}

// observe notes whether the longest wait stays above the target.
func (q *Queue) observe(now time.Time) {
	if !q.overdue(now) {
		q.aboveAt, q.standing = time.Time{}, false
		return
	}
	if q.aboveAt.IsZero() {
		q.aboveAt = now
	}
	q.standing = now.Sub(q.aboveAt) >= q.Interval
}

func (q *Queue) overdue(now time.Time) bool {
	for p := range q.levels {
		for _, f := range q.levels[p].flows {
			first := f.items[0]
			if float64(now.Sub(first.Arrived)) > q.Target*float64(first.patience()) {
				return true
			}
		}
	}
	return false
}

// Standing reports whether the queue serves the newest first.
func (q *Queue) Standing() bool {
	return q.standing
}

// Expire removes the items that can no longer be answered in time.
func (q *Queue) Expire(now time.Time) []Item {
	q.observe(now)
	return q.Extract(func(i Item) bool { return i.late(now) })
}

// Remove removes the item with the id, and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	return len(q.Extract(func(i Item) bool { return i.ID == id })) > 0
}

// Extract removes and returns the items that match.
func (q *Queue) Extract(drop func(Item) bool) []Item {
	var dropped []Item
	for p := range q.levels {
		l := &q.levels[p]
		for _, f := range l.flows {
			f.items = slices.DeleteFunc(f.items, func(i Item) bool {
				if !drop(i) {
					return false
				}
				dropped = append(dropped, i)
				return true
			})
		}
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool { return len(f.items) == 0 })
	}
	q.length -= len(dropped)
	return dropped
}
