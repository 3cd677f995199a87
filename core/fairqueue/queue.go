package fairqueue

import (
	"slices"
	"time"
)

const priorityLevels = 10

// Item is one queued request.
type Item struct {
	ID               uint64
	Flow             string // identifies the caller and the rule
	Priority         int    // from 0 to 9; higher goes first
	Arrived          time.Time
	Deadline         time.Time
	ExpectedDuration time.Duration // expected processing time once the request is sent
	StartBy          time.Time     // latest start that still meets the latency objective; zero if there is none
}

// maxWait returns the longest time that the item can spend in the queue: up to StartBy, or else up to the deadline.
func (i Item) maxWait() time.Duration {
	if i.StartBy.IsZero() {
		return i.Deadline.Sub(i.Arrived)
	}
	return i.StartBy.Sub(i.Arrived)
}

// late reports whether the item can no longer be answered before its deadline.
func (i Item) late(now time.Time) bool {
	return now.Add(i.ExpectedDuration).After(i.Deadline)
}

// Queue serves higher priorities first. Within a priority it serves the flows round-robin and each flow in FIFO order.
// A queue is standing when, for at least Interval, there has always been an item above its target wait; this is how
// CoDel detects overload. A standing queue serves in LIFO order, since its newest items can still be answered in time,
// and serves flows with few items before those with many. Queue is not safe for concurrent use.
type Queue struct {
	TargetWaitShare float64       // target wait of an item, as a share of its longest possible wait
	Interval        time.Duration // time above the target wait after which the queue counts as standing

	levels     [priorityLevels]level
	length     int
	aboveSince time.Time // when the wait first exceeded the target; zero while it is below
	standing   bool
}

// level holds the queued items of one priority.
type level struct {
	flows []*flow
	next  int // index of the flow to serve next in round-robin order
}

// flow holds the queued items of one caller and rule.
type flow struct {
	name  string
	items []Item // in the order pushed
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return q.length
}

// Ahead returns the number of items that are served before a new item of the priority.
func (q *Queue) Ahead(priority int) int {
	ahead := 0
	for p := priority; p < priorityLevels; p++ {
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

// Pop updates whether the queue is standing, then removes and returns the next item.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.updateStanding(now)
	return q.Take()
}

// Take removes and returns the item that Peek returns.
func (q *Queue) Take() (Item, bool) {
	for p := priorityLevels - 1; p >= 0; p-- {
		if l := &q.levels[p]; len(l.flows) > 0 {
			q.length--
			return l.pop(q.standing), true
		}
	}
	return Item{}, false
}

// Peek returns the item that Take would remove.
func (q *Queue) Peek() (Item, bool) {
	for p := priorityLevels - 1; p >= 0; p-- {
		l := &q.levels[p]
		if len(l.flows) == 0 {
			continue
		}
		flow, index := l.choose(q.standing)
		return l.flows[flow].items[index], true
	}
	return Item{}, false
}

// choose returns the indexes of the next flow and of the next item within it.
func (l *level) choose(newest bool) (flow, index int) {
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
	chosen, index := l.choose(newest)
	f := l.flows[chosen]
	item := f.items[index]
	f.items = slices.Delete(f.items, index, index+1)
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

// updateStanding recomputes whether the queue is standing, from how long the wait has been above the target.
func (q *Queue) updateStanding(now time.Time) {
	if !q.aboveTarget(now) {
		q.aboveSince, q.standing = time.Time{}, false
		return
	}
	if q.aboveSince.IsZero() {
		q.aboveSince = now
	}
	q.standing = now.Sub(q.aboveSince) >= q.Interval
}

// aboveTarget reports whether the oldest item of any flow has waited longer than the target.
func (q *Queue) aboveTarget(now time.Time) bool {
	for p := range q.levels {
		for _, f := range q.levels[p].flows {
			first := f.items[0]
			if float64(now.Sub(first.Arrived)) > q.TargetWaitShare*float64(first.maxWait()) {
				return true
			}
		}
	}
	return false
}

// Standing reports whether the queue is standing, that is, overloaded and serving the newest items first.
func (q *Queue) Standing() bool {
	return q.standing
}

// Expire removes and returns the items that can no longer be answered before their deadline.
func (q *Queue) Expire(now time.Time) []Item {
	q.updateStanding(now)
	return q.Extract(func(i Item) bool { return i.late(now) })
}

// Remove removes the item with the id and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	return len(q.Extract(func(i Item) bool { return i.ID == id })) > 0
}

// Extract removes and returns the items for which match returns true.
func (q *Queue) Extract(match func(Item) bool) []Item {
	var removed []Item
	for p := range q.levels {
		l := &q.levels[p]
		for _, f := range l.flows {
			f.items = slices.DeleteFunc(f.items, func(i Item) bool {
				if !match(i) {
					return false
				}
				removed = append(removed, i)
				return true
			})
		}
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool { return len(f.items) == 0 })
	}
	q.length -= len(removed)
	return removed
}
