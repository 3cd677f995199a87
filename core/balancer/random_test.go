package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/stop"
)

// TestInvariantsHoldInRandomRuns drives a balancer through random events. The invariant checks of the balancer must
// hold, and the requests in flight and in the queues must match those that the test has counted.
func TestInvariantsHoldInRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drive(t, record(rapid.IntRange(1, 6).Draw(rt, "targets"), rapid.IntRange(1, 4).Draw(rt, "slots")))
		run := &randomRun{driver: d, sent: map[uint64]decision.Decision{}, rules: []rule.Rule{shortRule(), longRule()}}
		run.rules[0].HedgeRatio = 0.1
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 10, 200).Draw(rt, "steps")
		for _, step := range steps {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			run.step(rt, step)
		}
		if got, want := len(d.inFlight), len(run.sent); got != want {
			rt.Fatalf("got %d in flight, want %d", got, want)
		}
		if got := d.Waiting(); got != run.waiting {
			rt.Fatalf("got %d waiting, want %d", got, run.waiting)
		}
		d.Tick(d.now)
	})
}

type randomRun struct {
	*driver

	rules   []rule.Rule
	sent    map[uint64]decision.Decision
	order   []uint64
	waiting int
}

func (r *randomRun) step(rt *rapid.T, step int) {
	switch step {
	case 0, 1, 2, 3:
		r.take(r.submit(r.rules[rapid.IntRange(0, 1).Draw(rt, "rule")]))
	case 4, 5, 6:
		r.end(rt)
	case 7:
		for _, d := range r.Poll(r.now) {
			r.waiting--
			if d.Kind == decision.Send {
				r.take(d)
			}
		}
	case 8:
		r.Tick(r.now)
		r.NextProbe(r.now)
	case 9:
		r.change(rt)
	}
}

func (r *randomRun) take(d decision.Decision) {
	switch d.Kind {
	case decision.Send:
		r.sent[d.ID] = d
		r.order = append(r.order, d.ID)
	case decision.Wait:
		r.waiting++
	case decision.Refuse:
	}
}

func (r *randomRun) end(rt *rapid.T) {
	if len(r.order) == 0 {
		return
	}
	place := rapid.IntRange(0, len(r.order)-1).Draw(rt, "which")
	id := r.order[place]
	r.order = append(r.order[:place], r.order[place+1:]...)
	last := r.sent[id]
	delete(r.sent, id)
	o := outcome.Outcome{
		Kind: rapid.SampledFrom([]outcome.Kind{
			outcome.Answered, outcome.Answered, outcome.Failed, outcome.Shed, outcome.NotSent, outcome.Broken,
			outcome.TimedOut, outcome.Cancelled,
		}).Draw(rt, "kind"),
		Latency:   time.Duration(rapid.IntRange(1, 500).Draw(rt, "latency")) * time.Millisecond,
		HasReport: rapid.Bool().Draw(rt, "report"),
		Report:    report.Report{Running: rapid.IntRange(0, 20).Draw(rt, "in flight")},
		Draining:  rapid.IntRange(0, 30).Draw(rt, "drain") == 0,
	}
	r.Finish(r.now, id, o)
	again := request.Request{
		ID: id, Rule: &r.rules[0], Caller: "c", Arrived: r.now, Deadline: r.now.Add(time.Second), Attempt: 1, Tried: []string{last.Name},
	}
	if d, ok := r.Retry(r.now, again, o); ok {
		r.take(d)
	}
}

func (r *randomRun) change(rt *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(rt, "change") {
	case 0:
		r.ApplyStops(r.now, []stop.Stop{{Service: "s", Target: "t1"}})
	case 1:
		r.ApplyStops(r.now, nil)
	case 2:
		r.Configure(r.now, record(rapid.IntRange(1, 6).Draw(rt, "targets"), 2))
	case 3:
		r.RecordLeavingCheck(r.now, "t1", rapid.Bool().Draw(rt, "reachable"), false)
	}
}
