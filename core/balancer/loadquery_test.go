package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/freshest"
	"poplarworks/core/outcome"
	"poplarworks/core/powerofd"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/service"
)

func queryRule() rule.Rule {
	return rule.Rule{
		Name: "status", Idempotent: true, Class: rule.Short, Deadline: 1200 * time.Millisecond, MaxAttempts: 2,
		Objective: 300 * time.Millisecond,
	}
}

// askedDriver drives a service whose targets are asked, and whose requests are known to take 100 ms.
func queryDriver(t *testing.T, targets int, change ...func(s *service.Service)) *driver {
	const slots = 3
	s := record(targets, slots)
	s.Asked, s.ExtraBurst, s.ExtraRatio = 4, 3, 0.2
	for _, c := range change {
		c(&s)
	}
	d := drive(t, s)
	random := rand.New(rand.NewPCG(3, 4))
	d.Picker = &freshest.Picker{MaxAge: 25 * time.Millisecond, Fallback: &powerofd.Picker{Choices: 4, Random: random}}
	d.rule = queryRule()
	for range 20 {
		d.reportAll(report.Report{Slots: slots, Slowdown: 1})
		sent := d.submit(d.rule)
		d.now = d.now.Add(100 * time.Millisecond)
		d.finish(sent, outcome.Answered, 100*time.Millisecond)
	}
	return d
}

func (d *driver) reportAll(r report.Report) {
	for _, target := range d.targets {
		d.Probed(d.now, target.record.Name, r, false)
	}
}

func TestTheCheapestOfTheReportedIsTaken(t *testing.T) {
	scenarios := []struct {
		name    string
		reports map[string]report.Report
		want    string
	}{
		{"the idle one", map[string]report.Report{"t1": {Running: 2, Slots: 3, Slowdown: 1}, "t2": {Slots: 3, Slowdown: 1}}, "t2"},
		{"not the slow one", map[string]report.Report{"t1": {Running: 1, Slots: 3, Slowdown: 1}, "t2": {Slots: 3, Slowdown: 5}}, "t1"},
		{"not the one with a queue", map[string]report.Report{"t1": {Running: 3, Waiting: 1, Slots: 3, Slowdown: 1}, "t2": {Running: 2, Slots: 3, Slowdown: 1}}, "t2"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := queryDriver(t, 2)
			d.now = d.now.Add(time.Second)
			for name, r := range s.reports {
				d.Probed(d.now, name, r, false)
			}
			if got := d.submit(d.rule); got.Name != s.want {
				t.Errorf("got %s %q, want %s", got.Kind, got.Name, s.want)
			}
		})
	}
}

// Two requests of one entry must not both go to the last free slot that a report showed.
func TestWhatWasSentSinceTheReportCounts(t *testing.T) {
	d := queryDriver(t, 1)
	d.reportAll(report.Report{Running: 2, Slots: 3, Slowdown: 1})
	var got []decision.Kind
	for range 3 {
		got = append(got, d.submit(d.rule).Kind)
	}
	want := []decision.Kind{decision.Send, decision.Wait, decision.Wait}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("request %d: got %s, want %s", i+1, got[i], want[i])
		}
	}
}

// Replays the worst of a crest: every target is full. Requests wait at the entry, where they can still go to whichever
// target has room first; those that can be in time go before those that cannot.
func TestAtACrestTimelyRequestsGoFirst(t *testing.T) {
	d := queryDriver(t, 4)
	full := report.Report{Running: 3, Waiting: 1, Slots: 3, Slowdown: 1}
	d.reportAll(full)
	old := d.submit(d.rule)
	d.now = d.now.Add(250 * time.Millisecond)
	d.reportAll(full)
	if got := d.Poll(d.now); len(got) != 0 {
		t.Fatalf("got %d decisions while all targets are full, want none", len(got))
	}
	young := d.submit(d.rule)
	if old.Kind != decision.Wait || young.Kind != decision.Wait {
		t.Fatalf("got %s and %s, want both to wait", old.Kind, young.Kind)
	}
	if got, want := d.Dump(d.now).Queued, [...]int{1, 0, 1}; got != want {
		t.Errorf("got queues of %v, want %v: one in time, one late", got, want)
	}
	d.Probed(d.now, "t1", report.Report{Running: 2, Slots: 3, Slowdown: 1}, false)
	got := d.Poll(d.now)
	if len(got) != 1 || got[0].ID != young.ID || got[0].Kind != decision.Send {
		t.Errorf("got %+v, want the younger request sent", got)
	}
}

// A request that has waited for a third of its time is refused as not run, while its caller can still try again.
func TestAWaitEndsWhileTheCallerCanTryAgain(t *testing.T) {
	d := queryDriver(t, 4)
	full := report.Report{Running: 3, Waiting: 3, Slots: 3, Slowdown: 1}
	d.reportAll(full)
	waiting := d.submit(d.rule)
	for range 60 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.reportAll(full)
		for _, got := range d.Poll(d.now) {
			if got.ID != waiting.ID || got.Kind != decision.Refuse || got.Code != code.Overloaded || got.RetryAfter <= 0 {
				t.Errorf("got %+v, want an overload refusal with a time to come back", got)
			}
			return
		}
	}
	t.Error("the request still waits after 600 ms of its 1200, want a refusal")
}

// Replays neighbours that slow a target down for a moment: work that started then would hold a slot five times as long, so a
// request waits, even one that will be late. A target that is slow for good takes those that will be late anyway.
func TestASlowTargetTakesLateRequestsOnlyIfItStaysSlow(t *testing.T) {
	scenarios := []struct {
		name    string
		slowFor time.Duration
		late    bool
		want    decision.Kind
	}{
		{"slow for a moment, in time", 0, false, decision.Wait},
		{"slow for a moment, late", 0, true, decision.Wait},
		{"slow for good, in time", 2 * time.Second, false, decision.Wait},
		{"slow for good, late", 2 * time.Second, true, decision.Send},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := queryDriver(t, 1)
			slow := report.Report{Slots: 3, Slowdown: 5}
			d.reportAll(slow)
			for end := d.now.Add(s.slowFor); d.now.Before(end); d.now = d.now.Add(50 * time.Millisecond) {
				d.reportAll(slow)
			}
			d.reportAll(slow)
			r := request.Request{Rule: &d.rule, Caller: "c", Arrived: d.now, Deadline: d.now.Add(time.Second), Left: 2500 * time.Millisecond}
			if s.late {
				d.rules[d.rule.Name].maxCallerTimeout = r.Left + d.rule.Objective
			}
			if got := d.Submit(d.now, r); got.Kind != s.want {
				t.Errorf("got %s, want %s", got.Kind, s.want)
			}
		})
	}
}

func TestWithoutReportsChoicesAreStillMade(t *testing.T) {
	d := queryDriver(t, 3)
	d.now = d.now.Add(noReportTimeout + maxReportAge + time.Millisecond)
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("got %s %d, want a target", got.Kind, got.Code)
	}
}

// Targets that slow down when they are nearly full do more with a slot left free.
func TestTheLastSlotStaysFreeWhereThatDoesMore(t *testing.T) {
	scenarios := []struct {
		name    string
		crowded time.Duration // latency at a target with two of three slots taken
		want    decision.Kind
	}{
		{"no slower when full", 100 * time.Millisecond, decision.Send},
		{"much slower when full", 200 * time.Millisecond, decision.Wait},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := queryDriver(t, 1)
			busy := report.Report{Running: 2, Slots: 3, Slowdown: 1}
			for range 10 * minSaturationSamples {
				d.reportAll(busy)
				sent := d.submit(d.rule)
				if sent.Kind != decision.Send {
					break
				}
				d.now = d.now.Add(s.crowded)
				d.finish(sent, outcome.Answered, s.crowded)
			}
			d.now = d.now.Add(time.Second)
			d.reportAll(busy)
			if got := d.submit(d.rule); got.Kind != s.want {
				t.Errorf("got %s, want %s", got.Kind, s.want)
			}
		})
	}
}

// A crossing costs; a large answer's costs so much that its own data centre is asked alone while it can.
func TestTargetsOfThisDataCentreAreAskedFirst(t *testing.T) {
	scenarios := []struct {
		name     string
		most     int
		large    bool
		wantNear int // at least
	}{
		{"nothing may be asked", 0, false, 0},
		{"one", 1, false, 0},
		{"all but one", 3, false, 2},
		{"a large answer", 3, true, 3},
		{"more than there are", 40, false, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := queryDriver(t, 12, func(s *service.Service) {
				for i := range s.Targets {
					s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
				}
			})
			d.Home = "dc1"
			large := d.rule
			large.Large = s.large
			for range 50 {
				drawn := d.Candidates(d.now, request.Request{Rule: &large}, s.most)
				near := 0
				for _, target := range drawn {
					if target.DataCentre == d.Home {
						near++
					}
				}
				if want := min(s.most, 12); len(drawn) != want || near < s.wantNear {
					t.Fatalf("got %d targets, %d of them near; want %d, at least %d near", len(drawn), near, want, s.wantNear)
				}
			}
		})
	}
}

// Replays the first crest after a start: while it is not known how much slower crowded targets are, one request at a time finds
// out, and the others wait for a slot that is worth filling.
func TestOneRequestAtATimeGoesToACrowdedTargetWhileThatIsNotKnown(t *testing.T) {
	d := queryDriver(t, 4)
	busy := report.Report{Running: 2, Slots: 3, Slowdown: 1}
	d.reportAll(busy)
	first, second := d.submit(d.rule), d.submit(d.rule)
	if first.Kind != decision.Send || second.Kind != decision.Wait {
		t.Fatalf("got %s and %s, want send and wait", first.Kind, second.Kind)
	}
	d.now = d.now.Add(120 * time.Millisecond)
	d.reportAll(report.Report{Running: 3, Slots: 3, Slowdown: 1})
	d.finish(first, outcome.Answered, 120*time.Millisecond)
	d.reportAll(busy)
	if got := d.Poll(d.now); len(got) != 1 || got[0].Kind != decision.Send {
		t.Errorf("got %+v once the first had ended, want the second sent", got)
	}
}

// A crowded target is tried again now and then, since what was learnt of it may have been chance.
func TestWhatWasLearntOfCrowdedTargetsIsCheckedAgain(t *testing.T) {
	d := queryDriver(t, 1)
	busy := report.Report{Running: 2, Slots: 3, Slowdown: 1}
	for range minSaturationSamples {
		d.reportAll(busy)
		sent := d.submit(d.rule)
		d.now = d.now.Add(200 * time.Millisecond)
		d.finish(sent, outcome.Answered, 200*time.Millisecond)
	}
	d.reportAll(busy)
	if got := d.submit(d.rule); got.Kind != decision.Wait {
		t.Fatalf("once known: got %s, want wait", got.Kind)
	}
	d.now = d.now.Add(exploreInterval)
	d.Poll(d.now)
	d.reportAll(busy)
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("later: got %s, want send", got.Kind)
	}
}

// Replays a data centre with more requests than its targets can serve: others are asked more the fuller it is.
func TestAFullDataCentreIsAskedLess(t *testing.T) {
	d := queryDriver(t, 12, func(s *service.Service) {
		for i := range s.Targets {
			s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
		}
	})
	d.Home = "dc1"
	ask := func() (near int) {
		for _, target := range d.Candidates(d.now, request.Request{Rule: &d.rule}, 4) {
			r := report.Report{Slots: 3, Slowdown: 1}
			if target.DataCentre == d.Home {
				near++
				r.Running = 3
			}
			d.Probed(d.now, target.Name, r, false)
		}
		return near
	}
	if got, want := ask(), 3; got < want {
		t.Errorf("at first: got %d of the own data centre, want at least %d", got, want)
	}
	late := 0
	for n := range 100 {
		if near := ask(); n >= 50 {
			late += near
		}
	}
	if most := 50 * 2; late > most {
		t.Errorf("full for a while: got %d of 200 in the own data centre, want at most %d", late, most)
	}
}

// retryAll submits requests that the first target rejects, and returns how many were sent once more.
func (d *driver) retryAll(requests int) int {
	d.t.Helper()
	extra := 0
	for range requests {
		d.reportAll(report.Report{Slots: 3, Slowdown: 1})
		sent := d.submit(d.rule)
		again := d.request(d.rule)
		again.ID, again.Attempt, again.Tried = sent.ID, 1, []string{sent.Name}
		failed := outcome.Outcome{Kind: outcome.Shed}
		d.Finish(d.now, sent.ID, failed)
		if next, ok := d.Retry(d.now, again, failed); ok {
			extra++
			if next.Kind != decision.Send {
				d.t.Fatalf("got %s, want send", next.Kind)
			}
			d.finish(next, outcome.Answered, 100*time.Millisecond)
		}
	}
	return extra
}

func TestRetriesAndHedgesShareOneBudget(t *testing.T) {
	d := queryDriver(t, 8) // whose requests have filled the reserve
	s := d.service
	s.ExtraRatio = 0
	d.Configure(d.now, s)
	if got, want := d.retryAll(50), 3; got != want {
		t.Errorf("got %d extra attempts, want %d", got, want)
	}
}

// Replays targets that reject everything while the processes of the fleet are killed over and over: reserves that each new process
// brought along would add up to far more than the fleet may spend.
func TestNewProcessesBringNoExtraAttempts(t *testing.T) {
	const starts, requests, ratio = 20, 10, 0.2
	extra := 0
	for range starts {
		s := record(8, 3)
		s.Asked, s.ExtraBurst, s.ExtraRatio = 4, 3, ratio
		extra += drive(t, s).retryAll(requests)
	}
	if most := int(starts * requests * ratio); extra == 0 || extra > most {
		t.Errorf("got %d extra attempts, want at least one and at most %d", extra, most)
	}
}

func TestSubsetsCoverAllTargets(t *testing.T) {
	const targets, entries, size = 120, 100, 24
	asked := map[string]int{}
	for e := range entries {
		s := record(targets, 3)
		s.Asked, s.Subset = 4, size
		for i := range s.Targets {
			s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
		}
		b := &Balancer{Self: fmt.Sprintf("entry-%d", e), Home: "dc0", Random: rand.New(rand.NewPCG(1, 2))}
		b.Configure(time.Unix(1_800_000_000, 0), s)
		if got := len(b.subset); got != size {
			t.Fatalf("got a subset of %d, want %d", got, size)
		}
		near := 0
		for _, target := range b.subset {
			asked[target.record.Name]++
			near += b.localRank(target)
		}
		if want := size * 2 / 3; near != want {
			t.Fatalf("got %d targets of the own data centre, want %d", near, want)
		}
	}
	if len(asked) != targets {
		t.Errorf("got %d targets in some subset, want %d", len(asked), targets)
	}
}
