package chaos

import (
	"fmt"
	"time"

	"poplarworks/measure/execution"
)

const leaveTimeout = 2 * time.Second // from the announcement to the last new work

// check compares the history with the targets' execution logs.
func (r *Run) check() (*Report, error) {
	report := &Report{Seed: r.Seed, Counts: r.history.counts, Violations: r.history.violations}
	var executions []execution.Execution
	for _, g := range r.fleet.Groups {
		list, err := g.Executions()
		if err != nil {
			return nil, err
		}
		executions = append(executions, list...)
	}
	report.Counts["executions"] = len(executions)
	report.Counts["sends"] = len(r.history.sends)
	report.add(r.fleet.InvariantViolations()...)
	report.add(r.exitedEntries()...)
	report.add(duplicateRuns(executions)...)
	report.add(ranDespiteNotRun(r.history.sends, executions)...)
	report.add(startedAfterLeaving(r.history.leavingPeriods, executions)...)
	report.add(inFlightWhenDrained(r.history.leavingPeriods, executions)...)
	report.add(conflictingWrites(r.history.writes)...)
	return report, nil
}

// exitedEntries finds entries whose process has ended by itself.
func (r *Run) exitedEntries() []string {
	var violations []string
	for _, e := range r.fleet.Entries {
		if !e.Process().Running() {
			violations = append(violations, fmt.Sprintf("%s exited with code %d", e.Name, e.Process().ExitCode()))
		}
	}
	return violations
}

// duplicateRuns finds keys that ran more than once.
func duplicateRuns(executions []execution.Execution) []string {
	var violations []string
	first := map[string]execution.Execution{}
	for _, e := range executions {
		if e.Key == "" {
			continue
		}
		if before, twice := first[e.Key]; twice {
			violations = append(violations, fmt.Sprintf("key %s ran twice: %s at %s and %s at %s (tokens %s, %s)",
				e.Key, before.Target, formatTime(before.Started), e.Target, formatTime(e.Started), before.Token, e.Token))
			continue
		}
		first[e.Key] = e
	}
	return violations
}

func formatTime(moment time.Time) string {
	return moment.Format("15:04:05.000")
}

// ranDespiteNotRun finds sends that were reported as not run although they ran, or although their key had run before.
func ranDespiteNotRun(sends []send, executions []execution.Execution) []string {
	var violations []string
	byToken, byKey := map[string]execution.Execution{}, map[string]execution.Execution{}
	for _, e := range executions {
		byToken[e.Token] = e
		if e.Key != "" {
			byKey[e.Key] = e
		}
	}
	for _, s := range sends {
		if s.run != "not-run" {
			continue
		}
		if e, ran := byToken[s.token]; ran {
			violations = append(violations, fmt.Sprintf("send %s was told not-run (%s) and ran at %s at %s", s.token, s.code, e.Target, formatTime(e.Started)))
		}
		if e, ran := byKey[s.key]; ran && s.key != "" && e.Started.Before(s.startedAt) {
			violations = append(violations, fmt.Sprintf("send %s of key %s, begun at %s, was told not-run (%s) although it had run at %s",
				s.token, s.key, formatTime(s.startedAt), s.code, formatTime(e.Started)))
		}
	}
	return violations
}

// startedAfterLeaving finds new work that started at targets more than leaveTimeout after they had begun to leave.
func startedAfterLeaving(leavingPeriods []leavingPeriod, executions []execution.Execution) []string {
	var violations []string
	for _, l := range leavingPeriods {
		for _, e := range executions {
			if e.Target == l.target && e.Started.After(l.from.Add(leaveTimeout)) && e.Started.Before(l.until) {
				violations = append(violations, fmt.Sprintf("target %s, leaving since %s (planned %t), got token %s at %s, %v later",
					l.target, formatTime(l.from), l.planned, e.Token, formatTime(e.Started), e.Started.Sub(l.from).Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// inFlightWhenDrained finds work that was in flight when the status of its target's stop reported the target as drained.
func inFlightWhenDrained(leavingPeriods []leavingPeriod, executions []execution.Execution) []string {
	var violations []string
	for _, l := range leavingPeriods {
		if l.drainedAt.IsZero() {
			continue
		}
		for _, e := range executions {
			if e.Target == l.target && e.Started.Before(l.drainedAt) && (e.Finished.After(l.drainedAt) || e.Finished.IsZero()) {
				violations = append(violations, fmt.Sprintf("target %s was reported as drained at %s with token %s in flight since %s",
					l.target, formatTime(l.drainedAt), e.Token, formatTime(e.Started)))
			}
		}
	}
	return violations
}

// conflictingWrites finds pairs of accepted writes that replaced the same revision.
func conflictingWrites(writes []write) []string {
	var violations []string
	first := map[uint64]write{}
	for _, w := range writes {
		if before, twice := first[w.replaced]; twice && before.revision != w.revision {
			violations = append(violations, fmt.Sprintf("revision %d was replaced by %d and by %d", w.replaced, before.revision, w.revision))
		}
		first[w.replaced] = w
	}
	return violations
}
