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

// maxLogLinesPerSecond limits the log lines of requests, so that the log of a large VM stays readable. A small VM
// serves fewer requests than that.
const maxLogLinesPerSecond = 300

// trace collects the attempts and the result of a request for its log line.
type trace struct {
	mu       sync.Mutex
	attempts []string
	refusal  code.Code
	status   int
}

// addAttempt records an attempt together with what the decision was based on: the expected cost of the target and the
// age of its load report.
func (t *trace) addAttempt(d decision.Decision, o outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, fmt.Sprintf("%s:%s,cost=%.2f,report-age=%s,took=%s",
		d.Name, o.Kind, d.Cost, d.ReportAge.Round(100*time.Microsecond), o.Latency.Round(time.Millisecond)))
}

// takeLogToken reports whether another request may be logged. It is called before the log line is built, so that
// requests above the limit cost nothing.
func (h *Handler) takeLogToken() bool {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	h.logTokens.PerSecond, h.logTokens.Burst = maxLogLinesPerSecond, maxLogLinesPerSecond
	_, ok := h.logTokens.Take(h.Now())
	if !ok {
		h.Counter("log.requests-left-out").Inc(1)
	}
	return ok
}

// logOutcome writes the log line of the request.
func (c *call) logOutcome(startedAt time.Time) {
	if !c.Logger.IsLevelEnabled(logrus.InfoLevel) || !c.takeLogToken() {
		return
	}
	c.trace.mu.Lock()
	defer c.trace.mu.Unlock()
	fields := logrus.Fields{
		"id":       c.id,
		"rule":     c.rule.Name,
		"service":  c.rule.Service,
		"attempts": strings.Join(c.trace.attempts, " "),
		"took":     c.Now().Sub(startedAt).Round(time.Millisecond),
		"left":     c.request.TimeLeft,
		"revision": c.Records.Catalog().Revision(),
	}
	if c.trace.refusal == code.Quarantined {
		fields["fingerprint"] = c.fingerprint
	}
	if c.trace.refusal != code.OK {
		fields["refused"], fields["run"] = c.trace.refusal.Description().Name, c.execution()
	} else {
		fields["status"] = c.trace.status
	}
	c.Log("exchange").WithFields(fields).Info("A request has ended.")
}
