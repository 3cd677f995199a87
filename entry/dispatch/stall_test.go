package dispatch

import (
	"testing"
	"time"
)

// Replays a process that was paused while a target said that it leaves, and whose look at the store takes a while after that.
func TestAfterAPauseRequestsWaitForAFreshView(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const paused = 3 * time.Second
	scenarios := []struct {
		name  string
		after time.Duration // since the process woke
		heard time.Duration // after the wake, when the store answers; zero if it does not
		alone bool          // nobody has to be heard
		want  bool
	}{
		{name: "at once", after: time.Millisecond, heard: 440 * time.Millisecond, want: true},
		{name: "settled, not heard yet", after: 300 * time.Millisecond, heard: 440 * time.Millisecond, want: true},
		{name: "heard", after: 441 * time.Millisecond, heard: 440 * time.Millisecond},
		{name: "heard before it has settled", after: 100 * time.Millisecond, heard: 50 * time.Millisecond, want: true},
		{name: "the store is away", after: stallLongest},
		{name: "nobody has to be heard", after: stallSettle, alone: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := start
			g := &stallGuard{heard: func(since time.Time) bool {
				at := start.Add(paused + s.heard)
				return s.heard > 0 && at.After(since) && !now.Before(at)
			}}
			if s.alone {
				g.heard = nil
			}
			g.look(start)
			for now = start.Add(paused); now.Before(start.Add(paused + s.after)); now = now.Add(stopInterval) {
				g.look(now)
			}
			now = start.Add(paused + s.after)
			if got := g.holds(now); got != s.want {
				t.Errorf("got held %t, want %t", got, s.want)
			}
		})
	}
}
