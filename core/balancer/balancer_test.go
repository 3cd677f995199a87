package balancer

import (
	"testing"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/digest"
	"poplarworks/core/outcome"
	"poplarworks/core/request"
	"poplarworks/core/rule"
)

func TestFailingTargetsDoNotAttractRequests(t *testing.T) {
	scenarios := []struct {
		name string
		kind outcome.Kind
	}{
		{"a target that fails fast", outcome.Failed},
		{"a target that breaks connections", outcome.Broken},
		{"a target that sheds", outcome.Shed},
		{"a target that refuses connections", outcome.NotSent},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := drive(t, record(5, 3))
			d.serve(50, nil)
			counts := d.serve(500, map[string]outcome.Kind{"t1": s.kind})
			if got, most := counts["t1"], 500/5; got > most {
				t.Errorf("got %d of 500 requests at the failing target, want at most its even share of %d", got, most)
			}
		})
	}
}

func TestAFaultCommonToAllEjectsAtMostHalf(t *testing.T) {
	d := drive(t, record(4, 3))
	all := map[string]outcome.Kind{"t1": outcome.Failed, "t2": outcome.Failed, "t3": outcome.Failed, "t4": outcome.Failed}
	d.serve(2000, all)
	if got := d.targetCounts.ejected; got > 2 {
		t.Errorf("got %d of 4 targets ejected, want at most 2", got)
	}
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("got %s, want a target even though all fail", got.Kind)
	}
}

func TestAnEjectedTargetIsTriedAndRecovers(t *testing.T) {
	d := drive(t, record(4, 3))
	d.serve(1000, map[string]outcome.Kind{"t1": outcome.Failed})
	if got := d.targetCounts.ejected; got != 1 {
		t.Fatalf("got %d ejected, want 1", got)
	}
	d.serve(5000, nil)
	if got := d.targetCounts.ejected; got != 0 {
		t.Errorf("got %d ejected after the fault has ended, want none", got)
	}
	if counts := d.serve(400, nil); counts["t1"] < 40 {
		t.Errorf("got %d of 400 requests at the target that recovered, want about its share of 100", counts["t1"])
	}
}

func TestASlowTargetGetsFewerRequestsUntilItRecovers(t *testing.T) {
	d := drive(t, record(4, 3))
	d.serve(100, nil)
	counts := map[string]int{}
	// Requests are sent in batches, so that the picker has a choice. Target t1 takes ten times as long as the others.
	for range 200 {
		var batch []decision.Decision
		for range 4 {
			batch = append(batch, d.submit(d.rule))
		}
		d.now = d.now.Add(10 * time.Millisecond)
		for _, sent := range batch {
			counts[sent.Name]++
			latency := 10 * time.Millisecond
			if sent.Name == "t1" {
				latency = 100 * time.Millisecond
			}
			d.finish(sent, outcome.Answered, latency)
		}
	}
	if got := counts["t1"]; got > 100 {
		t.Errorf("got %d of 800 requests at the slow target, want at most half of its even share", got)
	}
	if counts := d.serve(1000, nil); counts["t1"] < 100 {
		t.Errorf("got %d of 1000 requests at the target that recovered, want at least 100", counts["t1"])
	}
}

func TestAColdTargetIsRampedUp(t *testing.T) {
	s := record(3, 10)
	d := drive(t, record(2, 10))
	d.serve(50, nil)
	d.Configure(d.now, s)
	atOnce := map[string]int{}
	for range 24 {
		sent := d.submit(d.rule)
		if sent.Kind == decision.Send {
			atOnce[sent.Name]++
		}
	}
	if got := atOnce["t3"]; got > 1 {
		t.Errorf("got %d requests in flight at a new target, want at most 1", got)
	}
}

func TestLongRequestsLeaveSlotsForShortOnes(t *testing.T) {
	d := drive(t, record(2, 3))
	long := 0
	for range 20 {
		if d.submit(longRule()).Kind == decision.Send {
			long++
		}
	}
	if long != 2 {
		t.Errorf("got %d long requests in flight at 2 targets of 3 slots, want 1 at each", long)
	}
	for range 4 {
		if got := d.submit(d.rule); got.Kind != decision.Send {
			t.Errorf("got %s for a short request behind long ones, want a target", got.Kind)
		}
	}
}

func TestLongRequestsOfPeersCount(t *testing.T) {
	d := drive(t, record(2, 3))
	d.SetPeerDigest(d.now, "peer", map[string]digest.Load{"t1": {InFlight: 1, LongInFlight: 1}})
	for range 5 {
		if got := d.submit(longRule()); got.Kind == decision.Send && got.Name == "t1" {
			t.Error("got a long request at t1, where a peer has one in flight")
		}
	}
}

func TestARuleIsLongByItsMeasuredLatency(t *testing.T) {
	d := drive(t, record(2, 4))
	d.serve(60, nil)
	slow := shortRule()
	slow.Name = "export"
	for range 60 {
		sent := d.submit(slow)
		d.now = d.now.Add(500 * time.Millisecond)
		d.finish(sent, outcome.Answered, 500*time.Millisecond)
	}
	if !d.isLong(&slow, d.rules["export"]) {
		t.Error("got short for a rule that takes fifty times longer, want long")
	}
	if d.isLong(&d.rule, d.rules["lookup"]) {
		t.Error("got long for the short rule")
	}
}

func TestRefusals(t *testing.T) {
	scenarios := []struct {
		name string
		call func(d *driver) decision.Decision
		want code.Code
	}{
		{"a deadline that is too short", func(d *driver) decision.Decision {
			d.serve(50, nil)
			shortDeadline := d.rule
			shortDeadline.Deadline = time.Millisecond
			return d.submit(shortDeadline)
		}, code.DeadlineTooShort},
		{"no target", func(d *driver) decision.Decision {
			d.MarkLeaving(d.now, "t1")
			d.MarkLeaving(d.now, "t2")
			return d.submit(d.rule)
		}, code.NoTarget},
		{"a queue that would take longer than the deadline", func(d *driver) decision.Decision {
			d.serve(100, nil)
			var last decision.Decision
			for range 2000 {
				last = d.submit(d.rule)
			}
			return last
		}, code.Overloaded},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := s.call(drive(t, record(2, 3)))
			if got.Kind != decision.Refuse || got.Code != s.want {
				t.Errorf("got %s %d, want refuse %d", got.Kind, got.Code, s.want)
			}
			if got.RetryAfter <= 0 {
				t.Errorf("got retry after %v, want a time", got.RetryAfter)
			}
		})
	}
}

func TestQueuedRequestsAreServedByPriorityAndExpire(t *testing.T) {
	d := drive(t, record(1, 1))
	d.serve(20, nil)
	var running []decision.Decision
	for {
		sent := d.submit(d.rule)
		if sent.Kind != decision.Send {
			break
		}
		running = append(running, sent)
	}
	urgent := d.rule
	urgent.Name, urgent.Priority = "ice-edge", 9
	first := d.submit(urgent)
	if first.Kind != decision.Wait {
		t.Fatalf("got %s, want wait", first.Kind)
	}
	d.finish(running[0], outcome.Answered, 10*time.Millisecond)
	sent := d.Poll(d.now)
	if len(sent) != 1 || sent[0].ID != first.ID || sent[0].Kind != decision.Send {
		t.Fatalf("got %+v, want the urgent request alone to be sent", sent)
	}
	d.now = d.now.Add(2 * time.Second)
	for _, late := range d.Poll(d.now) {
		if late.Kind != decision.Refuse || late.Code != code.DeadlinePassed {
			t.Errorf("got %s %d, want refuse %d", late.Kind, late.Code, code.DeadlinePassed)
		}
	}
	if got := d.Waiting(); got != 0 {
		t.Errorf("got %d waiting after the deadline, want none", got)
	}
}

func TestQueuedCallersAreServedInTurn(t *testing.T) {
	d := drive(t, record(1, 1))
	d.serve(20, nil)
	var running []decision.Decision
	for sent := d.submit(d.rule); ; sent = d.submit(d.rule) {
		if sent.Kind != decision.Send {
			break
		}
		running = append(running, sent)
	}
	d.submit(d.rule)
	other := d.Submit(d.now, request.Request{Rule: &d.rule, Caller: "other", Arrived: d.now, Deadline: d.now.Add(time.Second)})
	place := 0
	for place = 1; place <= 3; place++ {
		d.finish(running[0], outcome.Answered, 10*time.Millisecond)
		running = d.Poll(d.now)
		if len(running) != 1 {
			t.Fatalf("got %d sent for one slot that came free, want 1", len(running))
		}
		if running[0].ID == other.ID {
			break
		}
	}
	if place != 2 {
		t.Errorf("got the second caller served as number %d, want 2, before the first one's second request", place)
	}
}

func TestRetries(t *testing.T) {
	once := shortRule()
	once.Idempotent = false
	scenarios := []struct {
		name     string
		rule     rule.Rule
		last     outcome.Outcome
		attempts int
		want     bool
	}{
		{"a broken idempotent request", shortRule(), outcome.Outcome{Kind: outcome.Broken}, 1, true},
		{"a broken request that is not idempotent", once, outcome.Outcome{Kind: outcome.Broken}, 1, false},
		{"one that was shed", once, outcome.Outcome{Kind: outcome.Shed}, 1, true},
		{"one that was not sent", once, outcome.Outcome{Kind: outcome.NotSent}, 1, true},
		{"one that timed out", shortRule(), outcome.Outcome{Kind: outcome.TimedOut}, 1, false},
		{"one that has used all attempts", shortRule(), outcome.Outcome{Kind: outcome.Shed}, 3, false},
		{"one that a downstream entry has already retried", shortRule(), outcome.Outcome{Kind: outcome.Failed, Downstream: true}, 1, false},
		{"one suspected of crashing targets", shortRule(), outcome.Outcome{Kind: outcome.Broken, Suspect: true}, 1, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := drive(t, record(3, 3))
			sent := d.submit(s.rule)
			d.Finish(d.now, sent.ID, s.last)
			r := request.Request{
				ID: sent.ID, Rule: &s.rule, Caller: "c", Arrived: d.now, Deadline: d.now.Add(time.Second),
				Attempt: s.attempts, Tried: []string{sent.Name},
			}
			again, got := d.Retry(d.now, r, s.last)
			if got != s.want {
				t.Fatalf("got %t, want %t", got, s.want)
			}
			if got && again.Name == sent.Name {
				t.Errorf("got %s again, want another target", again.Name)
			}
		})
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	d := drive(t, record(5, 50))
	retried := 0
	for range 1000 {
		sent := d.submit(d.rule)
		o := outcome.Outcome{Kind: outcome.Shed}
		d.Finish(d.now, sent.ID, o)
		r := request.Request{ID: sent.ID, Rule: &d.rule, Caller: "c", Arrived: d.now, Deadline: d.now.Add(time.Second), Attempt: 1, Tried: []string{sent.Name}}
		if again, ok := d.Retry(d.now, r, o); ok {
			retried++
			d.Finish(d.now, again.ID, o)
		}
		d.now = d.now.Add(time.Millisecond)
	}
	if most := 1000/10 + initialRetryTokens; float64(retried) > most {
		t.Errorf("got %d retries of 1000 requests, want at most %v", retried, most)
	}
	if retried < 50 {
		t.Errorf("got %d retries, want the budget to be used", retried)
	}
}

// Guards against an entry that is busy for long when a target claims very many slots.
func TestSlotsAreDividedRoundRobin(t *testing.T) {
	for _, entries := range []int{1, 3, 7} {
		for position := range entries {
			for slot := range 20 {
				want := 0
				for i := range slot {
					if i%entries == position {
						want++
					}
				}
				if got := slotsBelow(slot, entries, position); got != want {
					t.Errorf("%d slots, entry %d of %d: got %d, want %d", slot, position, entries, got, want)
				}
			}
		}
	}
}
