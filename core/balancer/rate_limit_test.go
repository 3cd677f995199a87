package balancer

import (
	"fmt"
	"testing"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/ratelimit"
	"poplarworks/core/service"
)

// limitedFleet is a number of entries that send to the same targets.
type limitedFleet struct {
	entries  []*driver
	sent     map[string][]time.Time // by target
	refused  int
	inFlight []flight
}

type flight struct {
	entry *driver
	sent  decision.Decision
	until time.Time
}

func newLimitedFleet(t *testing.T, entries int, s service.Service) *limitedFleet {
	f := &limitedFleet{sent: map[string][]time.Time{}}
	for i := range entries {
		s.Entries = append(s.Entries, service.Entry{Name: fmt.Sprintf("e%02d", i)})
	}
	for _, e := range s.Entries {
		f.entries = append(f.entries, driveEntry(t, e, s))
	}
	return f
}

// run lets each entry submit requests for the duration, which take 50 ms each.
func (f *limitedFleet) run(duration time.Duration, requestsPerSecond int) {
	const step = 10 * time.Millisecond
	interval := time.Second / time.Duration(requestsPerSecond)
	for at := time.Duration(0); at < duration; at += step {
		var left []flight
		for _, running := range f.inFlight {
			if running.entry.now.Before(running.until) {
				left = append(left, running)
				continue
			}
			running.entry.finish(running.sent, outcome.Answered, 50*time.Millisecond)
		}
		f.inFlight = left
		for _, e := range f.entries {
			decisions := e.Poll(e.now)
			if at/interval != (at+step)/interval {
				decisions = append(decisions, e.submit(e.rule))
			}
			for _, d := range decisions {
				f.take(e, d)
			}
			e.now = e.now.Add(step)
		}
	}
}

func (f *limitedFleet) take(e *driver, d decision.Decision) {
	switch d.Kind {
	case decision.Send:
		f.sent[d.Name] = append(f.sent[d.Name], e.now)
		f.inFlight = append(f.inFlight, flight{entry: e, sent: d, until: e.now.Add(50 * time.Millisecond)})
	case decision.Refuse:
		f.refused++
	case decision.Wait:
	}
}

// name lets all entries learn the limit of a target.
func (f *limitedFleet) name(target string, l ratelimit.Limit) {
	for _, e := range f.entries {
		e.RecordRateLimit(e.now, target, l)
	}
}

// mostWithin returns the largest number of times in any window of the given length.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that gets far more requests than the rate that it accepts from all entries together.
func TestATargetGetsNoMoreThanItsRateLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, limit := range []float64{0.5, 2, 10.5} {
		f := newLimitedFleet(t, 18, record(6, 6))
		for _, name := range []string{"t1", "t2", "t3"} {
			f.name(name, ratelimit.Limit{Named: true, PerSecond: limit})
		}
		f.run(20*time.Second, 10)
		allowed := 1.5*limit*window.Seconds() + 5
		for _, name := range []string{"t1", "t2", "t3"} {
			if got := mostWithin(f.sent[name], window); float64(got) > allowed {
				t.Errorf("limit %g: got %d requests at %s in %s, want at most %.0f", limit, got, name, window, allowed)
			}
			if got, least := float64(len(f.sent[name]))/20, 0.4*limit; got < least {
				t.Errorf("limit %g: got %.1f requests a second at %s, want at least %.1f", limit, got, name, least)
			}
		}
		if f.refused > 0 {
			t.Errorf("limit %g: got %d requests refused, want them sent to the other targets", limit, f.refused)
		}
	}
}

func TestALimitThatIsNoLongerNamedEnds(t *testing.T) {
	scenarios := []struct {
		name string
		end  func(d *driver)
	}{
		{"a probe names none", func(d *driver) { d.RecordRateLimit(d.now, "t1", ratelimit.Limit{}) }},
		{"an answer names none", func(d *driver) {
			d.now = d.now.Add(d.targets[0].rateShare.Wait(d.now))
			sent := d.submit(d.rule)
			d.Finish(d.now, sent.ID, outcome.Outcome{Kind: outcome.Answered, Answering: true})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := drive(t, record(1, 3))
			d.RecordRateLimit(d.now, "t1", ratelimit.Limit{Named: true, PerSecond: 0.01})
			if got := d.submit(d.rule); got.Kind != decision.Refuse {
				t.Fatalf("got %s, want a refusal while the limit is named", got.Kind)
			}
			s.end(d)
			if counts := d.serve(100, nil); counts["t1"] != 100 {
				t.Errorf("got %d requests at the target, want all 100", counts["t1"])
			}
		})
	}
}

// Guards against requests that wait until their deadline although it is known that no target has room.
func TestRequestsBeyondTheLimitsOfAllTargetsAreRefusedAtOnce(t *testing.T) {
	d := drive(t, record(2, 3))
	for _, name := range []string{"t1", "t2"} {
		d.RecordRateLimit(d.now, name, ratelimit.Limit{Named: true, PerSecond: 0.1})
	}
	kinds := map[decision.Kind]int{}
	for range 400 {
		d.now = d.now.Add(100 * time.Millisecond)
		for _, got := range append(d.Poll(d.now), d.submit(d.rule)) {
			kinds[got.Kind]++
			if got.Kind == decision.Send {
				d.finish(got, outcome.Answered, time.Millisecond)
			}
			if got.Kind == decision.Refuse && (got.Code != code.Overloaded || got.RetryAfter < minRetryAfter) {
				t.Errorf("got %d after %s, want overloaded with a time to wait", got.Code, got.RetryAfter)
			}
		}
	}
	if got := kinds[decision.Send]; got < 6 || got > 12 {
		t.Errorf("got %d requests sent in 40 s, want about 8", got)
	}
	if got, most := kinds[decision.Wait], 4*kinds[decision.Send]; got > most {
		t.Errorf("got %d requests queued, want at most the %d that come shortly before there is room", got, most)
	}
	if got := kinds[decision.Refuse]; got < 350 {
		t.Errorf("got %d requests refused, want nearly all of 400", got)
	}
}

func TestATargetThatAcceptsNothingGetsNothing(t *testing.T) {
	d := drive(t, record(1, 3))
	d.RecordRateLimit(d.now, "t1", ratelimit.Limit{Named: true})
	for range 10 {
		d.now = d.now.Add(time.Minute)
		if got := d.submit(d.rule); got.Kind != decision.Refuse || got.RetryAfter != maxRetryAfter {
			t.Errorf("got %s after %s, want a refusal with the longest time to wait", got.Kind, got.RetryAfter)
		}
	}
}

// Guards against retries and hedges beyond the limit.
func TestRetriesAndHedgesCountTowardsTheLimit(t *testing.T) {
	d := drive(t, record(2, 3))
	d.RecordRateLimit(d.now, "t2", ratelimit.Limit{Named: true, PerSecond: 0})
	first := d.submit(d.rule)
	if first.Name != "t1" {
		t.Fatalf("got target %s, want t1, which names no limit", first.Name)
	}
	r := d.request(d.rule)
	r.Attempt, r.Tried = 1, []string{"t1"}
	if got, ok := d.Hedge(d.now, r); ok {
		t.Errorf("got a hedge at %s, want none", got.Name)
	}
	d.finish(first, outcome.Failed, time.Millisecond)
	if got, ok := d.Retry(d.now, r, outcome.Outcome{Kind: outcome.Failed}); ok {
		t.Errorf("got %s at %s for the retry, want none", got.Kind, got.Name)
	}
}

// Guards against probes that crowd the remaining targets while others have reached their limits.
func TestTargetsAtTheirLimitGetFewProbes(t *testing.T) {
	d := probeDriver(t, 8)
	for _, name := range []string{"t1", "t2", "t3", "t4", "t5"} {
		d.RecordRateLimit(d.now, name, ratelimit.Limit{Named: true, PerSecond: 0})
	}
	drawn := d.ProbeCandidates(d.now, d.request(d.rule), 4)
	if got := len(drawn); got != minProbes {
		t.Errorf("got %d probes for a request, want %d", got, minProbes)
	}
	for _, target := range drawn {
		if d.targets[d.byName[target.Name]].rateLimited {
			t.Errorf("got a probe of %s, which has reached its limit", target.Name)
		}
	}
	d.now = d.now.Add(2 * rateLimitCheckInterval)
	limited := false
	for range 50 {
		for _, target := range d.ProbeCandidates(d.now, d.request(d.rule), 4) {
			limited = limited || d.targets[d.byName[target.Name]].rateLimited
		}
	}
	if !limited {
		t.Error("got no probe of a target at its limit, want one to learn of its end")
	}
}
