package balancer

import (
	"fmt"
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/ratelimit"
	"poplarworks/core/report"
	"poplarworks/core/request"
)

// BenchmarkDecision measures one request from Submit to Finish with half of the slots taken.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{14, 64, 1024} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			d := drive(nil, record(targets, 3))
			d.Check = nil
			r := shortRule()
			busy := make([]decision.Decision, 0, targets)
			for range targets {
				busy = append(busy, d.submit(r))
			}
			o := outcome.Outcome{Kind: outcome.Answered, Latency: 10 * time.Millisecond, HasReport: true, Report: report.Report{Running: 2}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.now = d.now.Add(50 * time.Microsecond)
				place := i % len(busy)
				d.Finish(d.now, busy[place].ID, o)
				busy[place] = d.Submit(d.now, request.Request{Rule: &r, Caller: "c", Arrived: d.now, Deadline: d.now.Add(r.Deadline)})
			}
		})
	}
}

// Each change of the targets computes the subsets of all entries while a target names a rate limit.
func BenchmarkRateSharers(b *testing.B) {
	f := newSubsetFleet(nil, []int{31, 31, 30, 30}, []int{40, 39, 39, 39})
	entry := f.entries[0]
	entry.RecordRateLimit(entry.now, "t0-1", ratelimit.Limit{Named: true, PerSecond: 1})
	for b.Loop() {
		entry.rateSharers = rateSharers{}
		entry.updateRateSharers()
	}
}
