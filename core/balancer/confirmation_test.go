package balancer

import (
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/service"
)

func TestADoubtfulTargetNeedsAFreshWord(t *testing.T) {
	d := queryDriver(t, 1, func(s *service.Service) { s.Targets[0].Doubtful = true })
	d.reportAll(report.Report{Slots: 3, Slowdown: 1})
	if got := d.submit(d.rule); got.Kind != decision.Send {
		t.Errorf("just after a report: got %s, want send", got.Kind)
	}
	d.now = d.now.Add(time.Second)
	if got := d.submit(d.rule); got.Kind == decision.Send {
		t.Error("a second after the report: got send, want none")
	}
	if got := len(d.Candidates(d.now, request.Request{Rule: &d.rule}, 4)); got != 1 {
		t.Errorf("got %d candidates, want 1: only a question can tell", got)
	}
}

// Targets of a service that tells no load are not asked in vain, but for those whose registrations have lapsed.
func TestTargetsThatTellNoLoadAreNotAskedAgain(t *testing.T) {
	scenarios := []struct {
		name     string
		reported bool
		doubtful bool
		after    time.Duration
		want     bool
	}{
		{"none has ever told any", false, false, time.Second, false},
		{"some have", true, false, time.Second, true},
		{"a while later", false, false, queryRetryInterval, true},
		{"a registration has lapsed", false, true, time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := record(2, 3)
			r.Asked, r.Targets[0].Doubtful = 3, s.doubtful
			d := drive(t, r)
			if s.reported {
				d.reportAll(report.Report{Slots: 3, Slowdown: 1})
			}
			d.Mute(d.now, "t1")
			if got := d.WorthAsking(d.now.Add(s.after)); got != s.want {
				t.Errorf("got %t, want %t", got, s.want)
			}
		})
	}
}

func TestADoubtfulTargetThatTellsNoLoadIsTrustedOnItsWord(t *testing.T) {
	r := record(1, 3)
	r.Asked, r.Targets[0].Doubtful = 3, true
	d := drive(t, r)
	ask := queryRule()
	if got := d.submit(ask); got.Kind == decision.Send {
		t.Fatal("before its word: got send, want none")
	}
	d.Mute(d.now, "t1")
	if got := d.submit(ask); got.Kind != decision.Send {
		t.Errorf("just after its word: got %s, want send", got.Kind)
	}
}
