package dispatch

import (
	"testing"
	"time"
)

// Guards against requests that are sent to a target which began to leave while this process was paused. After a pause,
// requests must wait until the sockets are read and the store has confirmed the records, which takes a while, but not
// longer than the limit.
func TestRequestsWaitForCurrentRecordsAfterPause(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const paused = 3 * time.Second
	scenarios := []struct {
		name           string
		after          time.Duration // since the process resumed
		confirmed      time.Duration // from the resumption to the store's answer; zero if it does not answer
		noConfirmation bool          // requests need not wait for the store
		want           bool
	}{
		{name: "at once", after: time.Millisecond, confirmed: 440 * time.Millisecond, want: true},
		{name: "settled, not confirmed yet", after: 300 * time.Millisecond, confirmed: 440 * time.Millisecond, want: true},
		{name: "heard", after: 441 * time.Millisecond, confirmed: 440 * time.Millisecond},
		{name: "confirmed before the settle time is over", after: 100 * time.Millisecond, confirmed: 50 * time.Millisecond, want: true},
		{name: "the store is unavailable", after: maxConfirmationWait},
		{name: "no confirmation needed", after: settleTime, noConfirmation: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := start
			g := &pauseGuard{confirmedSince: func(since time.Time) bool {
				at := start.Add(paused + s.confirmed)
				return s.confirmed > 0 && at.After(since) && !now.Before(at)
			}}
			if s.noConfirmation {
				g.confirmedSince = nil
			}
			g.check(start)
			for now = start.Add(paused); now.Before(start.Add(paused + s.after)); now = now.Add(stopInterval) {
				g.check(now)
			}
			now = start.Add(paused + s.after)
			if got := g.mustWait(now); got != s.want {
				t.Errorf("got waiting %t, want %t", got, s.want)
			}
		})
	}
}
