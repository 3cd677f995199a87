package absence

import (
	"slices"
	"testing"
)

func TestOnlyEntriesThatKeepFailingAreGone(t *testing.T) {
	scenarios := []struct {
		name   string
		checks []bool // whether the entry is alive at each check
		want   []bool // whether it counts as gone after each check
	}{
		{"alive", []bool{true, true, true, true}, []bool{false, false, false, false}},
		{"silent", []bool{true, false, false, false}, []bool{false, false, false, true}},
		{"dead now and then", []bool{false, false, true, false, false}, []bool{false, false, false, false, false}},
		{"still listed after it counted as gone", []bool{false, false, false, false}, []bool{false, false, true, true}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := &Counter{FailureThreshold: 3}
			for i, alive := range s.checks {
				got := slices.Contains(c.Check([]string{"a", "b"}, func(name string) bool { return alive || name == "b" }), "a")
				if got != s.want[i] {
					t.Errorf("check %d: got gone %t, want %t", i+1, got, s.want[i])
				}
			}
		})
	}
}

func TestRelistedEntryStartsFromZero(t *testing.T) {
	c := &Counter{FailureThreshold: 2}
	dead := func(name string) bool { return name != "a" }
	c.Check([]string{"a", "b"}, dead)
	c.Check([]string{"b"}, dead)
	if got := c.Check([]string{"a", "b"}, dead); len(got) != 0 {
		t.Errorf("got %q gone, want none", got)
	}
}

func TestNoneAreGoneWhileMostAreUnreachable(t *testing.T) {
	c := &Counter{FailureThreshold: 1}
	if got := c.Check([]string{"a", "b", "c"}, func(name string) bool { return name == "c" }); len(got) != 0 {
		t.Errorf("got %q gone, want none", got)
	}
}
