package records

import (
	"testing"

	"pgregory.net/rapid"
)

func TestCompleteMeansNothingIsMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &completeness{}
		seen := map[uint64]bool{}
		for _, revision := range rapid.SliceOf(rapid.Uint64Range(1, 30)).Draw(t, "revisions") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				c.raise(revision)
				for r := uint64(1); r <= revision; r++ {
					seen[r] = true
				}
			} else {
				c.add(revision)
				seen[revision] = true
			}
			want := uint64(0)
			for seen[want+1] {
				want++
			}
			if c.revision != want {
				t.Fatalf("got complete up to %d, want %d", c.revision, want)
			}
			if len(c.ahead) > 30 {
				t.Fatalf("got %d revisions remembered, want them bounded", len(c.ahead))
			}
		}
	})
}
