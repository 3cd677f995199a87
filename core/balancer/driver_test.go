package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/invariant"
	"poplarworks/core/outcome"
	"poplarworks/core/powerofd"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/service"
)

// driver calls a balancer with a simulated clock.
type driver struct {
	*Balancer

	t    *testing.T
	now  time.Time
	rule rule.Rule
}

func shortRule() rule.Rule {
	return rule.Rule{
		Name: "lookup", Idempotent: true, Class: rule.Short, Deadline: time.Second, RetryRatio: 0.1, MaxAttempts: 3,
	}
}

func longRule() rule.Rule {
	return rule.Rule{Name: "download", Idempotent: true, Class: rule.Long, Deadline: time.Minute, MaxAttempts: 3}
}

func record(targets, slots int) service.Service {
	s := service.Service{
		Name: "s", Slots: slots, Connections: 1000, MaxEntries: 1, LoadHeader: "L",
		ProbePath: "/load", ProbeCost: time.Millisecond, ProbeBudget: 20 * time.Millisecond, SlowStart: 5 * time.Second,
	}
	for i := range targets {
		s.Targets = append(s.Targets, service.Target{
			Name:    fmt.Sprintf("t%d", i+1),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+i)),
		})
	}
	return s
}

func drive(t *testing.T, s service.Service) *driver {
	return driveEntry(t, service.Entry{}, s)
}

// driveEntry returns a driver for one entry of several.
func driveEntry(t *testing.T, self service.Entry, s service.Service) *driver {
	random := rand.New(rand.NewPCG(1, 2))
	d := &driver{
		Balancer: &Balancer{
			Self: self.Name, DataCentre: self.DataCentre,
			Picker: &powerofd.Picker{Choices: 5, Random: random},
			Random: random,
			Check:  &invariant.Checker{Fail: func(breach string) { t.Fatal(breach) }},
		},
		t: t, now: time.Unix(1_800_000_000, 0), rule: shortRule(),
	}
	d.Configure(d.now, s)
	return d
}

func (d *driver) submit(r rule.Rule) decision.Decision {
	return d.Submit(d.now, d.request(r))
}

func (d *driver) request(r rule.Rule) request.Request {
	return request.Request{Rule: &r, Caller: "c", Arrived: d.now, Deadline: d.now.Add(r.Deadline)}
}

func (d *driver) finish(sent decision.Decision, kind outcome.Kind, latency time.Duration) {
	d.Finish(d.now, sent.ID, outcome.Outcome{Kind: kind, Latency: latency})
}

// serve sends n requests one after the other, 10 ms each, and counts them by target. The targets in fails end each
// request with the given outcome.
func (d *driver) serve(n int, fails map[string]outcome.Kind) map[string]int {
	d.t.Helper()
	counts := map[string]int{}
	for range n {
		sent := d.submit(d.rule)
		if sent.Kind != decision.Send {
			d.t.Fatalf("got %s %d, want a target", sent.Kind, sent.Code)
		}
		counts[sent.Name]++
		if kind, ok := fails[sent.Name]; ok {
			d.now = d.now.Add(time.Millisecond)
			d.finish(sent, kind, time.Millisecond)
		} else {
			d.now = d.now.Add(10 * time.Millisecond)
			d.finish(sent, outcome.Answered, 10*time.Millisecond)
		}
		d.Tick(d.now)
	}
	return counts
}
