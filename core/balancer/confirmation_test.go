package balancer

import (
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/service"
)

func TestADoubtfulTargetNeedsAFreshReport(t *testing.T) {
	d := probeDriver(t, 1, func(s *service.Service) { s.Targets[0].Unconfirmed = true })
	d.reportAll(report.Report{Slots: 3, Slowdown: 1})
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("just after a report: got %s, want send", got.Kind)
	}
	d.now = d.now.Add(time.Second)
	if got := d.submit(d.rule); got.Kind == decision.Send {
		t.Error("a second after the report: got send, want none")
	}
	if got := len(d.ProbeCandidates(d.now, request.Request{Rule: &d.rule}, 4)); got != 1 {
		t.Errorf("got %d candidates, want 1: only a load probe can confirm the target", got)
	}
}

// Targets of a service that reports no load must not be probed, except for targets whose registrations have expired.
func TestTargetsThatReportNoLoadAreNotProbedAgain(t *testing.T) {
	scenarios := []struct {
		name     string
		reported bool
		doubtful bool
		after    time.Duration
		want     bool
	}{
		{"no target has ever reported load", false, false, time.Second, false},
		{"a target has reported load", true, false, time.Second, true},
		{"the retry interval has passed", false, false, probeRetryInterval, true},
		{"a registration has expired", false, true, time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := record(2, 3)
			r.LoadProbes, r.Targets[0].Unconfirmed = 3, s.doubtful
			d := drive(t, r)
			if s.reported {
				d.reportAll(report.Report{Slots: 3, Slowdown: 1})
			}
			d.RecordHealthyWithoutLoad(d.now, "t1")
			if got := d.ShouldProbe(d.now.Add(s.after)); got != s.want {
				t.Errorf("got %t, want %t", got, s.want)
			}
		})
	}
}

func TestADoubtfulTargetIsConfirmedByAHealthyReplyWithoutLoad(t *testing.T) {
	r := record(1, 3)
	r.LoadProbes, r.Targets[0].Unconfirmed = 3, true
	d := drive(t, r)
	ask := probeRule()
	if got := d.submit(ask); got.Kind == decision.Send {
		t.Fatal("before the reply: got send, want none")
	}
	d.RecordHealthyWithoutLoad(d.now, "t1")
	if got := d.submit(ask); got.Kind != decision.Send {
		t.Errorf("just after the reply: got %s, want send", got.Kind)
	}
}
