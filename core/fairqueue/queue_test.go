package fairqueue

import (
	"slices"
	"testing"
	"time"
)

func queue() *Queue {
	return &Queue{TargetWaitShare: 0.25, Interval: 100 * time.Millisecond}
}

func start() time.Time {
	return time.Unix(1_800_000_000, 0)
}

func item(id uint64, flow string, priority int) Item {
	return Item{ID: id, Flow: flow, Priority: priority, Arrived: start(), Deadline: start().Add(time.Second)}
}

func popAll(q *Queue, now time.Time) []uint64 {
	var ids []uint64
	for q.Len() > 0 {
		next, _ := q.Pop(now)
		ids = append(ids, next.ID)
	}
	return ids
}

func TestOrder(t *testing.T) {
	scenarios := []struct {
		name  string
		items []Item
		want  []uint64
	}{
		{"oldest first", []Item{item(1, "a", 0), item(2, "a", 0), item(3, "a", 0)}, []uint64{1, 2, 3}},
		{"flows round-robin", []Item{item(1, "a", 0), item(2, "a", 0), item(3, "a", 0), item(4, "b", 0)}, []uint64{1, 4, 2, 3}},
		{"higher priorities first", []Item{item(1, "a", 0), item(2, "a", 9), item(3, "b", 5)}, []uint64{2, 3, 1}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			q := queue()
			for _, i := range s.items {
				q.Push(i)
			}
			if got := popAll(q, start()); !slices.Equal(got, s.want) {
				t.Errorf("got %v, want %v", got, s.want)
			}
		})
	}
}

func TestStandingQueueServesNewestFirst(t *testing.T) {
	q := queue()
	for id := range uint64(5) {
		q.Push(item(id, "a", 0))
	}
	q.Expire(start().Add(300 * time.Millisecond))
	if q.Standing() {
		t.Error("got standing when the wait first exceeds the target, want not standing until the interval has passed")
	}
	q.Expire(start().Add(450 * time.Millisecond))
	if !q.Standing() {
		t.Fatal("got not standing after the interval, want standing")
	}
	if next, _ := q.Pop(start().Add(450 * time.Millisecond)); next.ID != 4 {
		t.Errorf("got %d first, want the newest, 4", next.ID)
	}
	if got := q.Ahead(0); got != 0 {
		t.Errorf("got %d ahead of a new item, want none", got)
	}
}

// Checks that one caller that floods a standing queue at a traffic peak does not delay the other callers.
func TestStandingQueueServesNewestCallerFirstAndFloodingCallerLast(t *testing.T) {
	q := queue()
	at := func(id uint64, flow string, after time.Duration) Item {
		i := item(id, flow, 0)
		i.Arrived = start().Add(after)
		return i
	}
	q.Push(at(1, "a", 0))
	q.Push(at(2, "b", 10*time.Millisecond))
	for id := uint64(10); id < 14; id++ {
		q.Push(at(id, "flood", 40*time.Millisecond))
	}
	q.Push(at(3, "c", 20*time.Millisecond))
	q.Expire(start().Add(300 * time.Millisecond))
	q.Expire(start().Add(450 * time.Millisecond))
	want := []uint64{3, 2, 1, 13, 12, 11, 10}
	var got []uint64
	for q.Len() > 0 {
		next, _ := q.Take()
		got = append(got, next.ID)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An item whose StartBy is 200 ms after its arrival has a target wait of 50 ms. The target wait must not be computed
// from the deadline of one second, or the queue would turn to serving the newest first too late.
func TestStandingDependsOnMaxWaitOfItems(t *testing.T) {
	q := queue()
	i := item(1, "a", 0)
	i.StartBy = i.Arrived.Add(200 * time.Millisecond)
	q.Push(i)
	q.Expire(start().Add(60 * time.Millisecond))
	q.Expire(start().Add(170 * time.Millisecond))
	if !q.Standing() {
		t.Error("got not standing after 170 of 200 ms, want standing")
	}
}

func TestItemsThatCannotMeetDeadlineExpire(t *testing.T) {
	q := queue()
	long := item(1, "a", 0)
	long.ExpectedDuration = 500 * time.Millisecond
	q.Push(long)
	q.Push(item(2, "b", 0))
	late := q.Expire(start().Add(600 * time.Millisecond))
	if len(late) != 1 || late[0].ID != 1 {
		t.Errorf("got %v, want item 1 alone", late)
	}
	if got := q.Len(); got != 1 {
		t.Errorf("got %d left, want 1", got)
	}
	if !q.Remove(2) || q.Remove(2) {
		t.Error("got item 2 removed never or twice, want once")
	}
}

func TestPeekReturnsItemThatPopRemoves(t *testing.T) {
	q := queue()
	for id := range uint64(20) {
		q.Push(item(id, string(rune('a'+id%3)), int(id%2)))
	}
	for q.Len() > 0 {
		peeked, _ := q.Peek()
		popped, _ := q.Pop(start())
		if peeked.ID != popped.ID {
			t.Fatalf("got %d popped, want %d as peeked", popped.ID, peeked.ID)
		}
	}
	if _, ok := q.Peek(); ok {
		t.Error("got an item from an empty queue")
	}
}
