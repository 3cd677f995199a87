package confighistory

import (
	"fmt"
	"testing"
	"time"

	"poplarworks/core/configuration"
	"poplarworks/core/storeversion"
)

var begin = time.Unix(1_800_000_000, 0)

// offer is a configuration that the store returns.
type offer struct {
	at       time.Duration
	revision storeversion.Version
	text     string
	number   uint64
	want     Verdict
}

func TestConfigurationsAreConsidered(t *testing.T) {
	v := storeversion.New
	scenarios := []struct {
		name    string
		offers  []offer
		current string // text in force after all offers
		later   string // the same when all delays have passed
	}{
		{"newer ones in an era", []offer{{0, v(1, 1), "a", 4, Apply}, {0, v(1, 3), "b", 6, Apply}}, "b", "b"},
		{"an older revision arrives late", []offer{{0, v(1, 3), "b", 6, Apply}, {0, v(1, 1), "a", 4, Ignore}}, "b", "b"},
		{"a lower number in an era", []offer{{0, v(1, 1), "b", 6, Apply}, {0, v(1, 3), "a", 4, Ignore}}, "b", "b"},
		{"the same revision again", []offer{{0, v(1, 1), "a", 4, Apply}, {0, v(1, 1), "a", 4, Ignore}}, "a", "a"},
		{"the copy has the one in force", []offer{{0, v(1, 5), "a", 4, Apply}, {0, v(2, 3), "a", 4, Confirm}, {0, v(2, 4), "b", 5, Apply}}, "b", "b"},
		{"the copy has a newer one", []offer{{0, v(1, 5), "a", 4, Apply}, {0, v(2, 3), "b", 5, Apply}}, "b", "b"},
		{"the copy has an older one", []offer{{0, v(1, 1), "a", 4, Apply}, {0, v(1, 5), "b", 6, Apply}, {0, v(2, 1), "a", 4, Defer}}, "b", "a"},
		{"an update of the old era arrives last", []offer{{0, v(1, 1), "a", 4, Apply}, {0, v(2, 1), "b", 6, Apply}, {0, v(1, 9), "c", 8, Ignore}}, "b", "b"},
		{"all is written again", []offer{
			{0, v(1, 1), "a", 4, Apply},
			{0, v(1, 2), "b", 6, Apply},
			{0, v(1, 3), "c", 8, Apply},
			{time.Second, v(2, 1), "a", 4, Defer},
			{time.Second, v(2, 2), "b", 6, Defer},
			{9 * time.Second, v(2, 3), "c", 8, Confirm},
			{9 * time.Second, v(2, 4), "d", 9, Apply},
		}, "d", "d"},
		{"the copy has one that was not seen", []offer{{0, v(1, 5), "b", 6, Apply}, {0, v(2, 1), "a", 4, Defer}, {2 * time.Second, v(2, 2), "b", 6, Confirm}}, "b", "b"},
		{"a lower number after a restore", []offer{{0, v(1, 5), "b", 6, Apply}, {0, v(2, 6), "c", 3, Defer}}, "b", "c"},
		{"the same number with another text", []offer{{0, v(1, 5), "b", 6, Apply}, {0, v(2, 6), "c", 6, Apply}}, "c", "c"},
		{"a series of lower numbers", []offer{
			{0, v(1, 5), "z", 99, Apply},
			{0, v(2, 1), "a", 1, Defer},
			{time.Second, v(2, 2), "b", 2, Defer},
			{1500 * time.Millisecond, v(2, 3), "c", 3, Defer},
			{2100 * time.Millisecond, v(2, 4), "d", 4, Apply},
		}, "d", "d"},
		{"two restores", []offer{
			{0, v(1, 1), "a", 4, Apply},
			{0, v(1, 2), "b", 6, Apply},
			{0, v(2, 1), "a", 4, Defer},
			{time.Second, v(3, 1), "a", 4, Defer},
			{2 * time.Second, v(3, 2), "b", 6, Confirm},
		}, "b", "b"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := &History{}
			for _, o := range s.offers {
				now := begin.Add(o.at)
				h.Due(now)
				if got := h.Consider(now, configuration.Text{Revision: o.revision, Value: []byte(o.text)}, o.number); got != o.want {
					t.Errorf("%s: got %s, want %s", o.revision, got, o.want)
				}
			}
			if got := string(h.Current().Value); got != s.current {
				t.Errorf("got %q in force, want %q", got, s.current)
			}
			h.Due(begin.Add(time.Hour))
			if got := string(h.Current().Value); got != s.later {
				t.Errorf("got %q in force after all delays, want %q", got, s.later)
			}
		})
	}
}

// Guards against an operator whose configuration with a lower number waits for longer than a change may take.
func TestDeferredConfigurationsAreAppliedAfterTheirDelays(t *testing.T) {
	scenarios := []struct {
		name      string
		revisions []storeversion.Version // of configurations with lower and lower numbers
		texts     []string
		want      time.Duration
	}{
		{"the first after the restore", []storeversion.Version{storeversion.New(2, 1)}, []string{"x"}, firstDelay},
		{"one that was in force before", []storeversion.Version{storeversion.New(2, 1)}, []string{"a"}, knownDelay},
		{"one that follows the copy", []storeversion.Version{storeversion.New(2, 1), storeversion.New(2, 2)}, []string{"a", "x"}, laterDelay},
		{"a known one in place of the first", []storeversion.Version{storeversion.New(2, 1), storeversion.New(2, 2)}, []string{"x", "a"}, knownDelay},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := &History{}
			h.Consider(begin, configuration.Text{Revision: storeversion.New(1, 8), Value: []byte("a")}, 90)
			h.Consider(begin, configuration.Text{Revision: storeversion.New(1, 9), Value: []byte("b")}, 91)
			for i, revision := range s.revisions {
				h.Consider(begin, configuration.Text{Revision: revision, Value: []byte(s.texts[i])}, uint64(50-i))
			}
			if _, due := h.Due(begin.Add(s.want - time.Millisecond)); due {
				t.Errorf("got it applied before %s", s.want)
			}
			got, due := h.Due(begin.Add(s.want))
			if want := s.texts[len(s.texts)-1]; !due || string(got.Value) != want {
				t.Errorf("got %q, %t after %s, want %q", got.Value, due, s.want, want)
			}
		})
	}
}

func TestKnownConfigurationsAreBounded(t *testing.T) {
	h := &History{}
	for n := range uint64(10 * maxKnown) {
		h.Consider(begin, configuration.Text{Revision: storeversion.New(1, n+1), Value: fmt.Appendf(nil, "text %d", n)}, n+1)
	}
	if got := len(h.known); got != maxKnown {
		t.Errorf("got %d hashes, want %d", got, maxKnown)
	}
}
