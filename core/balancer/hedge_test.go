package balancer

import (
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/report"
)

// Latencies have a heavy tail: most answers take 100 ms, some ten times as long.
func TestAnOverdueAttemptIsHedgedIfTheHedgeCanBeInTime(t *testing.T) {
	scenarios := []struct {
		name          string
		slowdown      float64       // reported by the target
		waited        time.Duration // in the queue before the request is sent
		deadline      time.Duration
		notIdempotent bool
		noSamples     bool
		want          time.Duration
		wantHedge     bool
	}{
		{name: "much longer than expected", slowdown: 1, deadline: time.Second, want: 160 * time.Millisecond, wantHedge: true},
		{name: "a slow target gets more time", slowdown: 1.2, deadline: time.Second, want: 192 * time.Millisecond, wantHedge: true},
		{
			name: "the hedge would miss the objective, so the first attempt must be stuck", slowdown: 1, waited: 80 * time.Millisecond,
			deadline: time.Second, want: 400 * time.Millisecond, wantHedge: true,
		},
		{name: "the hedge would miss the deadline", slowdown: 1, waited: 80 * time.Millisecond, deadline: 450 * time.Millisecond},
		{name: "the request is not idempotent", slowdown: 1, deadline: time.Second, notIdempotent: true},
		{name: "the base latency is not known", slowdown: 1, deadline: time.Second, noSamples: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := probeDriver(t, 2)
			d.rule.Idempotent, d.rule.Deadline = !s.notIdempotent, s.deadline
			if s.noSamples {
				delete(d.rules, d.rule.Name)
			}
			d.reportAll(report.Report{Slots: 3, Slowdown: s.slowdown})
			sent := d.submit(d.rule)
			d.inFlight[sent.ID].request.Arrived = d.now.Add(-s.waited)
			got, hedge := d.HedgeAfter(d.now, sent.ID)
			if off := (got - s.want).Abs(); hedge != s.wantHedge || off > s.want/10 {
				t.Errorf("got %s and %t, want about %s and %t", got, hedge, s.want, s.wantHedge)
			}
		})
	}
}

func TestAHedgeGoesToAnotherTargetWithinTheBudget(t *testing.T) {
	d := probeDriver(t, 3)
	hedges := 0
	for range 20 {
		d.reportAll(report.Report{Slots: 3, Slowdown: 1})
		r := d.request(d.rule)
		sent := d.Submit(d.now, r)
		r.ID, r.Attempt, r.Tried = sent.ID, 1, []string{sent.Name}
		second, ok := d.Hedge(d.now, r)
		if ok {
			hedges++
			if second.Name == sent.Name {
				t.Fatalf("got %s for both attempts, want two targets", sent.Name)
			}
			d.finish(second, outcome.Cancelled, 0)
		}
		d.finish(sent, outcome.Answered, 100*time.Millisecond)
	}
	if most := int(3 + 20*d.service.ExtraRatio); hedges == 0 || hedges > most {
		t.Errorf("got %d hedges, want at least one and at most %d", hedges, most)
	}
}

// Callers return after a restart: all slots are occupied and hardly any request has completed. The low completion rate
// must not lead to refusals.
func TestTheFirstQueuedRequestsAfterAStartAreNotRefused(t *testing.T) {
	d := probeDriver(t, 2)
	d.completions = rate{}
	d.reportAll(report.Report{Slots: 3, Slowdown: 1})
	var sent []decision.Decision
	for range 4 {
		sent = append(sent, d.submit(d.rule))
	}
	full := report.Report{Running: 3, Slots: 3, Slowdown: 1}
	d.now = d.now.Add(100 * time.Millisecond)
	d.reportAll(full)
	d.finish(sent[0], outcome.Answered, 100*time.Millisecond)
	d.reportAll(full)
	for i := range 6 {
		if got := d.submit(d.rule); got.Kind != decision.Wait {
			t.Errorf("request %d: got %s, want it to wait", i+1, got.Kind)
		}
	}
}
