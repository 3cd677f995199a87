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

func probeRule() rule.Rule {
	return rule.Rule{
		Name: "status", Idempotent: true, Class: rule.Short, Deadline: 1200 * time.Millisecond, MaxAttempts: 2,
		LatencyObjective: 300 * time.Millisecond,
	}
}

// probeDriver returns a driver for a service with load probes, whose base latency of 100 ms is already measured.
func probeDriver(t *testing.T, targets int, change ...func(s *service.Service)) *driver {
	const slots = 3
	s := record(targets, slots)
	s.LoadProbes, s.ExtraBurst, s.ExtraRatio = 4, 3, 0.2
	for _, c := range change {
		c(&s)
	}
	d := drive(t, s)
	random := rand.New(rand.NewPCG(3, 4))
	d.Picker = &freshest.Picker{MaxAge: 25 * time.Millisecond, Fallback: &powerofd.Picker{Choices: 4, Random: random}}
	d.rule = probeRule()
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
		d.RecordProbe(d.now, target.record.Name, r, false)
	}
}

func TestTheCheapestReportedTargetIsPicked(t *testing.T) {
	scenarios := []struct {
		name    string
		reports map[string]report.Report
		want    string
	}{
		{"an idle target is preferred", map[string]report.Report{"t1": {Running: 2, Slots: 3, Slowdown: 1}, "t2": {Slots: 3, Slowdown: 1}}, "t2"},
		{"a slow target is avoided", map[string]report.Report{"t1": {Running: 1, Slots: 3, Slowdown: 1}, "t2": {Slots: 3, Slowdown: 5}}, "t1"},
		{"a target with a queue is avoided", map[string]report.Report{"t1": {Running: 3, Waiting: 1, Slots: 3, Slowdown: 1}, "t2": {Running: 2, Slots: 3, Slowdown: 1}}, "t2"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := probeDriver(t, 2)
			d.now = d.now.Add(time.Second)
			for name, r := range s.reports {
				d.RecordProbe(d.now, name, r, false)
			}
			if got := d.submit(d.rule); got.Name != s.want {
				t.Errorf("got %s %q, want %s", got.Kind, got.Name, s.want)
			}
		})
	}
}

// Guards against two requests of one entry that are both sent to the last free slot of a report.
func TestRequestsSentSinceTheReportCount(t *testing.T) {
	d := probeDriver(t, 1)
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

// All targets are saturated at the height of a peak. Requests must be queued at the entry, so that the first free slot
// of any target can serve them, and requests that can still meet their objective must be sent first.
func TestRequestsThatMeetTheirObjectiveGoFirstAtPeak(t *testing.T) {
	d := probeDriver(t, 4)
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
		t.Errorf("got queues of %v, want %v: one that can meet its objective, one late", got, want)
	}
	d.RecordProbe(d.now, "t1", report.Report{Running: 2, Slots: 3, Slowdown: 1}, false)
	got := d.Poll(d.now)
	if len(got) != 1 || got[0].ID != young.ID || got[0].Kind != decision.Send {
		t.Errorf("got %+v, want the younger request sent", got)
	}
}

// A request that has been queued for a third of its time must be refused as not run, while its caller can still retry.
func TestAQueuedRequestIsRefusedWhileItsCallerCanRetry(t *testing.T) {
	d := probeDriver(t, 4)
	full := report.Report{Running: 3, Waiting: 3, Slots: 3, Slowdown: 1}
	d.reportAll(full)
	waiting := d.submit(d.rule)
	for range 60 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.reportAll(full)
		for _, got := range d.Poll(d.now) {
			if got.ID != waiting.ID || got.Kind != decision.Refuse || got.Code != code.Overloaded || got.RetryAfter <= 0 {
				t.Errorf("got %+v, want an overload refusal with a retry delay", got)
			}
			return
		}
	}
	t.Error("the request is still queued after 600 ms of its 1200, want a refusal")
}

// A request that starts during a short slowdown, caused by noisy neighbours, would occupy its slot five times as long.
// Even late requests must stay queued then. A target with a lasting slowdown must still serve late requests.
func TestASlowTargetTakesLateRequestsOnlyIfItStaysSlow(t *testing.T) {
	scenarios := []struct {
		name    string
		slowFor time.Duration
		late    bool
		want    decision.Kind
	}{
		{"short slowdown, request in time", 0, false, decision.Wait},
		{"short slowdown, late request", 0, true, decision.Wait},
		{"lasting slowdown, request in time", 2 * time.Second, false, decision.Wait},
		{"lasting slowdown, late request", 2 * time.Second, true, decision.Send},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := probeDriver(t, 1)
			slow := report.Report{Slots: 3, Slowdown: 5}
			d.reportAll(slow)
			for end := d.now.Add(s.slowFor); d.now.Before(end); d.now = d.now.Add(50 * time.Millisecond) {
				d.reportAll(slow)
			}
			d.reportAll(slow)
			r := request.Request{Rule: &d.rule, Caller: "c", Arrived: d.now, Deadline: d.now.Add(time.Second), TimeLeft: 2500 * time.Millisecond}
			if s.late {
				d.rules[d.rule.Name].maxCallerTimeout = r.TimeLeft + d.rule.LatencyObjective
			}
			if got := d.Submit(d.now, r); got.Kind != s.want {
				t.Errorf("got %s, want %s", got.Kind, s.want)
			}
		})
	}
}

func TestRequestsAreSentWithoutLoadReports(t *testing.T) {
	d := probeDriver(t, 3)
	d.now = d.now.Add(noReportTimeout + maxReportAge + time.Millisecond)
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("got %s %d, want a target", got.Kind, got.Code)
	}
}

// Targets that slow down near saturation have a higher throughput if one slot stays free.
func TestTheLastSlotStaysFreeIfThroughputIsHigher(t *testing.T) {
	scenarios := []struct {
		name                string
		latencyAtSaturation time.Duration // latency at a target with two of three slots occupied
		want                decision.Kind
	}{
		{"no slower when full", 100 * time.Millisecond, decision.Send},
		{"much slower when full", 200 * time.Millisecond, decision.Wait},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := probeDriver(t, 1)
			busy := report.Report{Running: 2, Slots: 3, Slowdown: 1}
			for range 10 * minSaturationSamples {
				d.reportAll(busy)
				sent := d.submit(d.rule)
				if sent.Kind != decision.Send {
					break
				}
				d.now = d.now.Add(s.latencyAtSaturation)
				d.finish(sent, outcome.Answered, s.latencyAtSaturation)
			}
			d.now = d.now.Add(time.Second)
			d.reportAll(busy)
			if got := d.submit(d.rule); got.Kind != s.want {
				t.Errorf("got %s, want %s", got.Kind, s.want)
			}
		})
	}
}

// Transfers between data centres have a cost. For large answers it is so high that local targets are all probed first.
func TestTargetsOfThisDataCentreAreProbedFirst(t *testing.T) {
	scenarios := []struct {
		name      string
		most      int
		large     bool
		wantLocal int // at least
	}{
		{"no probes are allowed", 0, false, 0},
		{"one", 1, false, 0},
		{"all but one", 3, false, 2},
		{"a large answer", 3, true, 3},
		{"more than there are", 40, false, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := probeDriver(t, 12, func(s *service.Service) {
				for i := range s.Targets {
					s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
				}
			})
			d.DataCentre = "dc1"
			large := d.rule
			large.LargeAnswers = s.large
			for range 50 {
				drawn := d.ProbeCandidates(d.now, request.Request{Rule: &large}, s.most)
				local := 0
				for _, target := range drawn {
					if target.DataCentre == d.DataCentre {
						local++
					}
				}
				if want := min(s.most, 12); len(drawn) != want || local < s.wantLocal {
					t.Fatalf("got %d targets, %d of them local; want %d, at least %d local", len(drawn), local, want, s.wantLocal)
				}
			}
		})
	}
}

// At the first peak after a start, the slowdown near saturation has not been measured yet. Only one request at a time
// may measure it, and the others must stay queued until a usable slot is free.
func TestOneRequestAtATimeMeasuresTheSlowdownNearSaturation(t *testing.T) {
	d := probeDriver(t, 4)
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
		t.Errorf("got %+v after the first has ended, want the second sent", got)
	}
}

// The slowdown near saturation must be measured again from time to time, since the first samples may have been unusual.
func TestTheSlowdownNearSaturationIsMeasuredAgain(t *testing.T) {
	d := probeDriver(t, 1)
	busy := report.Report{Running: 2, Slots: 3, Slowdown: 1}
	for range minSaturationSamples {
		d.reportAll(busy)
		sent := d.submit(d.rule)
		d.now = d.now.Add(200 * time.Millisecond)
		d.finish(sent, outcome.Answered, 200*time.Millisecond)
	}
	d.reportAll(busy)
	if got := d.submit(d.rule); got.Kind != decision.Wait {
		t.Fatalf("after the samples: got %s, want wait", got.Kind)
	}
	d.now = d.now.Add(exploreInterval)
	d.Poll(d.now)
	d.reportAll(busy)
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("after exploreInterval: got %s, want send", got.Kind)
	}
}

// The closer the targets of an overloaded data centre are to full, the more probes must go to other data centres.
func TestAFullDataCentreIsProbedLess(t *testing.T) {
	d := probeDriver(t, 12, func(s *service.Service) {
		for i := range s.Targets {
			s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
		}
	})
	d.DataCentre = "dc1"
	ask := func() (local int) {
		for _, target := range d.ProbeCandidates(d.now, request.Request{Rule: &d.rule}, 4) {
			r := report.Report{Slots: 3, Slowdown: 1}
			if target.DataCentre == d.DataCentre {
				local++
				r.Running = 3
			}
			d.RecordProbe(d.now, target.Name, r, false)
		}
		return local
	}
	if got, want := ask(), 3; got < want {
		t.Errorf("at first: got %d of this data centre, want at least %d", got, want)
	}
	late := 0
	for n := range 100 {
		if local := ask(); n >= 50 {
			late += local
		}
	}
	if most := 50 * 2; late > most {
		t.Errorf("full for a while: got %d of 200 in this data centre, want at most %d", late, most)
	}
}

// retryAll submits requests that the first target sheds, and returns how many of them were retried.
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
	d := probeDriver(t, 8) // its requests have filled the budget
	s := d.service
	s.ExtraRatio = 0
	d.Configure(d.now, s)
	if got, want := d.retryAll(50), 3; got != want {
		t.Errorf("got %d extra attempts, want %d", got, want)
	}
}

// Targets shed all requests while the processes of the fleet are killed again and again. If each new process started
// with a reserve, the extra attempts would far exceed the budget of the fleet.
func TestNewProcessesStartWithAnEmptyBudget(t *testing.T) {
	const starts, requests, ratio = 20, 10, 0.2
	extra := 0
	for range starts {
		s := record(8, 3)
		s.LoadProbes, s.ExtraBurst, s.ExtraRatio = 4, 3, ratio
		extra += drive(t, s).retryAll(requests)
	}
	if most := int(starts * requests * ratio); extra == 0 || extra > most {
		t.Errorf("got %d extra attempts, want at least one and at most %d", extra, most)
	}
}
