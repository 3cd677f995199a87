package balancer

import (
	"testing"
	"time"

	"poplarworks/core/outcome"
	"poplarworks/core/report"
	"poplarworks/core/stop"
)

func TestStoppedAndLeavingTargetsGetNoNewWork(t *testing.T) {
	planned := stop.Stop{Service: "s", Target: "t1"}
	scenarios := []struct {
		name  string
		leave func(d *driver)
	}{
		{"a planned stop", func(d *driver) { d.ApplyStops(d.now, []stop.Stop{planned}) }},
		{"a notice of a peer", func(d *driver) { d.MarkLeaving(d.now, "t1") }},
		{"the target's drain signal", func(d *driver) {
			sent := d.submit(d.rule)
			for sent.Name != "t1" {
				sent = d.submit(d.rule)
			}
			d.Finish(d.now, sent.ID, outcome.Outcome{Kind: outcome.Answered, Latency: time.Millisecond, Draining: true})
		}},
		{"a probe", func(d *driver) { d.RecordProbe(d.now, "t1", report.Report{}, true) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := drive(t, record(3, 50))
			s.leave(d)
			if counts := d.serve(100, nil); counts["t1"] != 0 {
				t.Errorf("got %d requests at the target, want none", counts["t1"])
			}
		})
	}
}

func TestLeavingIsStickyUntilTheTargetWasUnreachable(t *testing.T) {
	d := drive(t, record(2, 50))
	d.MarkLeaving(d.now, "t1")
	d.RecordLeavingCheck(d.now, "t1", true, false)
	if counts := d.serve(50, nil); counts["t1"] != 0 {
		t.Errorf("got %d requests although the target was never unreachable, want none", counts["t1"])
	}
	d.RecordLeavingCheck(d.now, "t1", false, false)
	d.RecordLeavingCheck(d.now, "t1", true, false)
	if counts := d.serve(2000, nil); counts["t1"] == 0 {
		t.Error("got no request at the target's new incarnation, want some")
	}
}

func TestARequestIsConfirmedOnlyWhileItsTargetStays(t *testing.T) {
	scenarios := []struct {
		name  string
		leave func(d *driver, target string)
		want  bool
	}{
		{"the target stays", func(*driver, string) {}, true},
		{"the target leaves", func(d *driver, target string) { d.MarkLeaving(d.now, target) }, false},
		{"a stop comes into force", func(d *driver, target string) {
			d.ApplyStops(d.now, []stop.Stop{{Service: "s", Target: target}})
		}, false},
		{"the record drops all targets", func(d *driver, _ string) { d.Configure(d.now, record(0, 3)) }, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := drive(t, record(3, 3))
			sent := d.submit(d.rule)
			s.leave(d, sent.Name)
			if got := d.StillAcceptsWork(sent.ID); got != s.want {
				t.Errorf("got confirmed %t, want %t", got, s.want)
			}
		})
	}
}

func TestWithdrawingAStopRestoresWork(t *testing.T) {
	d := drive(t, record(2, 50))
	d.ApplyStops(d.now, []stop.Stop{{Service: "s", Target: "t1"}})
	d.ApplyStops(d.now, nil)
	if counts := d.serve(200, nil); counts["t1"] == 0 {
		t.Error("got no request after the stop was withdrawn, want some")
	}
}
