package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"poplarworks/standin/backend"
)

const (
	crashThreshold = 3                      // crashes after which a request must be refused
	refusalTimeout = 3 * time.Second        // after the last of these crashes, at every entry
	maxLateCrashes = 3                      // requests that may still reach a target after that
	applyMargin    = 250 * time.Millisecond // for the transfer of a request, in addition to applyTimeout
	stopMargin     = time.Second            // at the end of the grace time, in which requests may be cut off
	budgetWindow   = 10 * time.Second
	limitTimeout   = 3 * time.Second // after a target has named its first limit
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5 // requests within the window, as a multiple of what the limit allows
	limitExtra     = 5   // requests beyond that
	maxTries       = 5   // of a request that targets refuse because they are saturated
)

// check returns the violated guarantees and the number of requests that were served.
func (c *callers) check() (violations []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	runs, violations := c.checkTargets()
	violations = append(violations, c.violations...)
	for _, o := range c.outcomes {
		switch {
		case o.payment && runs[o.id] > 1:
			violations = append(violations, fmt.Sprintf("payment %s ran %d times", o.id, runs[o.id]))
		case o.payment && o.status == http.StatusServiceUnavailable && runs[o.id] > 0:
			violations = append(violations, fmt.Sprintf("payment %s ran, but its caller was told that it had not run", o.id))
		case o.status == http.StatusOK && (o.body != backend.ResponseBody(o.id) || !o.signed):
			violations = append(violations, fmt.Sprintf("request %s got %q", o.id, o.body))
		case o.status >= 300 && o.status < 500:
			violations = append(violations, fmt.Sprintf("request %s got status %d, although its route exists", o.id, o.status))
		case o.status == 0 && runs[o.id] > 0 && c.env.onlyPlannedStop(o.entry, o.started, o.at):
			violations = append(violations, fmt.Sprintf("request %s was cut off by a planned stop of entry %d", o.id, o.entry))
		case o.status == http.StatusOK:
			served++
		}
	}
	return violations, served
}

// checkTargets checks the requests that reached the targets, and returns how often each request ran.
func (c *callers) checkTargets() (runs map[string]int, violations []string) {
	runs = map[string]int{}
	var crashes []backend.Execution
	arrivals := map[string][]backend.Execution{}
	for name, t := range c.env.targets {
		arrivals[t.Service] = append(arrivals[t.Service], t.Arrivals()...)
		for _, e := range t.Executions() {
			runs[e.ID]++
			if strings.HasPrefix(e.ID, "crash") {
				crashes = append(crashes, e)
			}
			if left, ok := c.env.leavingSince[name]; ok && !c.env.leftUnread[name] && e.At.Sub(left) > leaveTimeout {
				violations = append(violations, fmt.Sprintf("request %s reached target %s %s after the target had announced that it leaves", e.ID, name, e.At.Sub(left)))
			}
		}
	}
	for name, l := range c.env.limits {
		violations = append(violations, c.checkLimit(name, l, c.env.targets[name].Arrivals())...)
	}
	violations = append(violations, checkCrashes(crashes)...)
	for service, arrived := range arrivals {
		violations = append(violations, checkBudget(service, arrived)...)
	}
	return runs, violations
}

// checkLimit finds windows in which a target got more requests than the rate limit that it has named allows. Only
// requests through entries that were undisturbed at the time count, and only once the limit must be known.
func (c *callers) checkLimit(target string, l limit, arrivals []backend.Execution) []string {
	entries := map[string]int{}
	for _, o := range c.outcomes {
		entries[o.id] = o.entry
	}
	var counted []time.Time
	for _, e := range arrivals {
		entry, known := entries[e.ID]
		if known && e.At.Sub(l.from) > limitTimeout && c.env.undisturbedAt(entry, e.At, refusalTimeout) {
			counted = append(counted, e.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := limitTolerance*l.perSecond*limitWindow.Seconds() + limitExtra
	for _, from := range counted {
		if got := countWithin(counted, from, limitWindow); float64(got) > allowed {
			return []string{fmt.Sprintf("target %s named a limit of %.1f a second and got %d requests within %s, allowed %.0f", target, l.perSecond, got, limitWindow, allowed)}
		}
	}
	return nil
}

// checkCrashes finds requests that still reached targets long after they were known to crash them. Only requests
// through undisturbed entries count: an entry that has just started or was cut off may not know about the crashes
// yet.
func checkCrashes(crashes []backend.Execution) []string {
	slices.SortFunc(crashes, func(x, y backend.Execution) int { return x.At.Compare(y.At) })
	late := 0
	for _, e := range crashes {
		if strings.HasPrefix(e.ID, undisturbedCrashID) && e.At.Sub(crashes[min(crashThreshold, len(crashes))-1].At) > refusalTimeout {
			late++
		}
	}
	if late > maxLateCrashes {
		return []string{fmt.Sprintf("a request reached %d targets more than the allowed time after it had crashed %d", late, crashThreshold)}
	}
	return nil
}

// checkBudget finds windows in which more extra attempts (arrivals after the first of the same request) reached a
// service than the budget allows. Requests that never arrived are not counted, so the limit checked here is never
// above the one that the fleet has.
func checkBudget(service string, arrivals []backend.Execution) []string {
	slices.SortFunc(arrivals, func(x, y backend.Execution) int { return x.At.Compare(y.At) })
	var firsts, extras []time.Time
	seen := map[string]bool{}
	for _, e := range arrivals {
		if seen[e.ID] {
			extras = append(extras, e.At)
		} else {
			firsts = append(firsts, e.At)
		}
		seen[e.ID] = true
	}
	for _, from := range extras {
		extra := countWithin(extras, from, budgetWindow)
		first := max(countWithin(firsts, from, budgetWindow), countWithin(firsts, from.Add(-budgetWindow), budgetWindow))
		if allowed := extraRatio*float64(first) + extraSlack; float64(extra) > allowed {
			return []string{fmt.Sprintf("service %s got %d extra arrivals for %d requests within %s, allowed %.0f", service, extra, first, budgetWindow, allowed)}
		}
	}
	return nil
}

// countWithin counts the times in the window that begins at from.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// checkRecovery reports when too few of the requests after the given time were served, although all faults had ended.
func (c *callers) checkRecovery(since time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, good := 0, 0
	for _, o := range c.outcomes {
		if o.at.Before(since) {
			continue
		}
		all++
		if o.status == http.StatusOK {
			good++
		}
	}
	if all == 0 || float64(good) < minServedShare*float64(all) {
		return []string{fmt.Sprintf("%d of %d requests were served in the recovery period after the faults", good, all)}
	}
	return nil
}

// checkNewestRoute finds entries without the route that was added last. A status of 503 comes from a saturated target
// and tells nothing about the configuration, so the request is repeated.
func (c *callers) checkNewestRoute() []string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var violations []string
	for i, callerLink := range c.env.CallerLinks {
		path, status := c.env.newest().prefix+"x", http.StatusServiceUnavailable
		for try := 0; try < maxTries && status == http.StatusServiceUnavailable; try++ {
			status, _ = send(client, callerLink.From, http.MethodGet, path, fmt.Sprintf("configured-%d-%d", i, try))
		}
		if status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("entry %d responds with status %d on a route of the newest configuration", i, status))
		}
	}
	return violations
}
