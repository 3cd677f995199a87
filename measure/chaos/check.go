package chaos

import (
	"fmt"
	"time"

	"poplarworks/measure/execution"
)

const leaveLimit = 2 * time.Second // from the sign to the last new work

// check holds the history against the targets' execution logs.
func (r *Run) check() (*Report, error) {
	report := &Report{Seed: r.Seed, Counts: r.history.counts, Breaches: r.history.wrong}
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
	report.add(r.fleet.Breaches()...)
	report.add(r.exits()...)
	report.add(runTwice(executions)...)
	report.add(toldNotRun(r.history.sends, executions)...)
	report.add(afterLeaving(r.history.leaves, executions)...)
	report.add(cutByStops(r.history.leaves, executions)...)
	report.add(bothAccepted(r.history.writes)...)
	return report, nil
}

// exits names entries that ended by themselves.
func (r *Run) exits() []string {
	var breaches []string
	for _, e := range r.fleet.Entries {
		if !e.Process().Running() {
			breaches = append(breaches, fmt.Sprintf("%s ended with code %d", e.Name, e.Process().ExitCode()))
		}
	}
	return breaches
}

// runTwice finds keys that ran more than once.
func runTwice(executions []execution.Execution) []string {
	var breaches []string
	first := map[string]execution.Execution{}
	for _, e := range executions {
		if e.Key == "" {
			continue
		}
		if before, twice := first[e.Key]; twice {
			breaches = append(breaches, fmt.Sprintf("key %s ran twice: %s at %s and %s at %s (tokens %s, %s)",
				e.Key, before.Target, stamp(before.Started), e.Target, stamp(e.Started), before.Token, e.Token))
			continue
		}
		first[e.Key] = e
	}
	return breaches
}

func stamp(moment time.Time) string {
	return moment.Format("15:04:05.000")
}

// toldNotRun finds sends whose caller was told "not run" although they ran, or although their key had run before.
func toldNotRun(sends []send, executions []execution.Execution) []string {
	var breaches []string
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
			breaches = append(breaches, fmt.Sprintf("send %s was told not-run (%s) and ran at %s at %s", s.token, s.code, e.Target, stamp(e.Started)))
		}
		if e, ran := byKey[s.key]; ran && s.key != "" && e.Started.Before(s.begun) {
			breaches = append(breaches, fmt.Sprintf("send %s of key %s, begun at %s, was told not-run (%s) although it had run at %s",
				s.token, s.key, stamp(s.begun), s.code, stamp(e.Started)))
		}
	}
	return breaches
}

// afterLeaving finds new work at targets that had been leaving for longer than the limit.
func afterLeaving(leaves []leave, executions []execution.Execution) []string {
	var breaches []string
	for _, l := range leaves {
		for _, e := range executions {
			if e.Target == l.target && e.Started.After(l.from.Add(leaveLimit)) && e.Started.Before(l.until) {
				breaches = append(breaches, fmt.Sprintf("target %s, leaving since %s (planned %t), got token %s at %s, %v later",
					l.target, stamp(l.from), l.planned, e.Token, stamp(e.Started), e.Started.Sub(l.from).Round(time.Millisecond)))
			}
		}
	}
	return breaches
}

// cutByStops finds work that was in flight when the status of its target's stop said drained.
func cutByStops(leaves []leave, executions []execution.Execution) []string {
	var breaches []string
	for _, l := range leaves {
		if l.drained.IsZero() {
			continue
		}
		for _, e := range executions {
			if e.Target == l.target && e.Started.Before(l.drained) && (e.Finished.After(l.drained) || e.Finished.IsZero()) {
				breaches = append(breaches, fmt.Sprintf("target %s was called drained at %s with token %s in flight since %s",
					l.target, stamp(l.drained), e.Token, stamp(e.Started)))
			}
		}
	}
	return breaches
}

// bothAccepted finds two writes that replaced the same revision.
func bothAccepted(writes []write) []string {
	var breaches []string
	first := map[uint64]write{}
	for _, w := range writes {
		if before, twice := first[w.replaced]; twice && before.revision != w.revision {
			breaches = append(breaches, fmt.Sprintf("revision %d was replaced by %d and by %d", w.replaced, before.revision, w.revision))
		}
		first[w.replaced] = w
	}
	return breaches
}
