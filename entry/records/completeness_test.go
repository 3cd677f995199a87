package records

import (
	"testing"

	"pgregory.net/rapid"
)

func TestCompleteRevisionHasNoGapBelow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &completeness{}
		received := map[uint64]bool{}
		for _, revision := range rapid.SliceOf(rapid.Uint64Range(1, 30)).Draw(t, "revisions") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				c.raise(revision)
				for r := uint64(1); r <= revision; r++ {
					received[r] = true
				}
			} else {
				c.add(revision)
				received[revision] = true
			}
			want := uint64(0)
			for received[want+1] {
				want++
			}
			if c.revision != want {
				t.Fatalf("got complete up to %d, want %d", c.revision, want)
			}
			if len(c.aboveGap) > 30 {
				t.Fatalf("got %d revisions above the gap, want at most 30", len(c.aboveGap))
			}
		}
	})
}
