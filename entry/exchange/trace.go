package exchange

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
)

// linesPerSecond bounds the lines of requests in the log; a small VM serves fewer, and a large one's log stays readable.
const linesPerSecond = 300

// trace collects what became of a request, for its one line in the log.
type trace struct {
	mu       sync.Mutex
	attempts []string
	refusal  code.Code
	status   int
}

// attempt notes an attempt with what decided it: the expected cost of the target and the age of its load report.
func (t *trace) attempt(d decision.Decision, o outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, fmt.Sprintf("%s:%s,cost=%.2f,report-age=%s,took=%s",
		d.Name, o.Kind, d.Cost, d.ReportAge.Round(100*time.Microsecond), o.Latency.Round(time.Millisecond)))
}

// mayLog bounds the lines of requests, before the work of writing one is done.
func (h *Handler) mayLog() bool {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	h.logTokens.PerSecond, h.logTokens.Burst = linesPerSecond, linesPerSecond
	_, ok := h.logTokens.Take(h.Now())
	if !ok {
		h.Counter("log.requests-left-out").Inc(1)
	}
	return ok
}

// logOutcome writes the line of the request.
func (c *call) logOutcome(begun time.Time) {
	if !c.Logger.IsLevelEnabled(logrus.InfoLevel) || !c.mayLog() {
		return
	}
	c.trace.mu.Lock()
	defer c.trace.mu.Unlock()
	fields := logrus.Fields{
		"id":       c.id,
		"rule":     c.rule.Name,
		"service":  c.rule.Service,
		"attempts": strings.Join(c.trace.attempts, " "),
		"took":     c.Now().Sub(begun).Round(time.Millisecond),
		"left":     c.request.Left,
		"revision": c.Records.Catalog().Revision(),
	}
	if c.trace.refusal != code.OK {
		fields["refused"], fields["run"] = c.trace.refusal.Entry().Name, c.run()
	} else {
		fields["status"] = c.trace.status
	}
	c.Log("exchange").WithFields(fields).Info("A request has ended.")
}
