package registry

import (
	"net/netip"
	"testing"
	"time"

	"poplarworks/core/storeversion"
)

var (
	begin   = time.Unix(1_800_000_000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:8000")
)

func entry(sequence uint64, change ...func(e *Registration)) *Registration {
	e := &Registration{Service: "s", Address: address, DataCentre: "dc", Slots: 3, Sequence: sequence, Started: begin}
	for _, c := range change {
		c(e)
	}
	return e
}

func leaving(e *Registration)   { e.Leaving = true }
func restarted(e *Registration) { e.Started = begin.Add(time.Minute) }
func moved(e *Registration)     { e.Address = netip.MustParseAddrPort("10.0.0.2:8000") }

// visibleState describes the single target of service s: absent, or its flags.
func visibleState(r *Registry, now time.Time) string {
	targets := r.Services(now)["s"]
	if len(targets) == 0 {
		return "absent"
	}
	text := "there"
	if targets[0].Leaving {
		text += " leaving"
	}
	if targets[0].Unconfirmed {
		text += " doubtful"
	}
	return text
}

func TestNewestVersionWinsInAnyOrder(t *testing.T) {
	scenarios := []struct {
		name    string
		changes []Change
		want    string
	}{
		{"a registration", []Change{{"k", 1, entry(1)}}, "there"},
		{"a target that leaves", []Change{{"k", 1, entry(1)}, {"k", 2, entry(2, leaving)}}, "there leaving"},
		{"leaving is sticky for an incarnation", []Change{{"k", 1, entry(1, leaving)}, {"k", 2, entry(2)}}, "there leaving"},
		{"another incarnation is not leaving", []Change{{"k", 1, entry(1, leaving)}, {"k", 2, entry(1, restarted)}}, "there"},
		{"a target at another address is not leaving", []Change{{"k", 1, entry(1, leaving)}, {"k", 2, entry(2, moved)}}, "there"},
		{"an old version arrives late", []Change{{"k", 2, entry(2, leaving)}, {"k", 1, entry(1)}}, "there leaving"},
		{"an earlier incarnation writes late", []Change{{"k", 1, entry(1, restarted)}, {"k", 2, entry(9, leaving)}}, "there"},
		{"a lower sequence is written late", []Change{{"k", 1, entry(5)}, {"k", 2, entry(4, leaving)}}, "there"},
		{"a removal", []Change{{"k", 1, entry(1)}, {"k", 2, nil}}, "absent"},
		{"a registration from before the removal", []Change{{"k", 3, nil}, {"k", 2, entry(1)}}, "absent"},
		{"a target that registers again", []Change{{"k", 1, entry(1)}, {"k", 2, nil}, {"k", 3, entry(1, restarted)}}, "there"},
		{"an entry that cannot be decoded", []Change{{"k", 1, nil}}, "absent"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := &Registry{RecoveryGrace: 2 * time.Second}
			for _, c := range s.changes {
				r.Apply(begin, []Change{c}, c.Version)
			}
			if got := visibleState(r, begin.Add(time.Second)); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}

func TestReplaceRemovesUnlistedTargets(t *testing.T) {
	scenarios := []struct {
		name    string
		listing []Change
		version storeversion.Version
		want    string
	}{
		{"a listing without the target", nil, 9, "absent"},
		{"an older listing without it", nil, 4, "there"},
		{"a listing that contains it", []Change{{"k", 5, entry(1)}}, 9, "there"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := &Registry{}
			r.Apply(begin, []Change{{"k", 5, entry(1)}}, 5)
			r.Replace(begin, s.listing, s.version)
			if got := visibleState(r, begin.Add(time.Second)); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}

// A registration that expired during an outage of the store may be renewed afterwards. Until then the target is marked
// doubtful, since it may also have stopped.
func TestExpiredRegistrationHasGraceOnlyAfterOutage(t *testing.T) {
	r := &Registry{RecoveryGrace: 2 * time.Second}
	r.Apply(begin, []Change{{"k", 1, entry(1)}}, 1)
	r.StoreRecovered(begin.Add(10 * time.Second))
	r.Apply(begin.Add(11*time.Second), []Change{{"k", 2, nil}}, 2)
	scenarios := []struct {
		after time.Duration
		want  string
	}{
		{11 * time.Second, "there doubtful"},
		{11900 * time.Millisecond, "there doubtful"},
		{12100 * time.Millisecond, "absent"},
	}
	for _, s := range scenarios {
		if got := visibleState(r, begin.Add(s.after)); got != s.want {
			t.Errorf("after %s: got %s, want %s", s.after, got, s.want)
		}
	}
	r.Apply(begin.Add(20*time.Second), []Change{{"k", 3, entry(3)}, {"k", 4, nil}}, 4)
	if got := visibleState(r, begin.Add(20*time.Second)); got != "absent" {
		t.Errorf("without an outage: got %s, want absent", got)
	}
}

func TestHeartbeatsAreNotSignificantChanges(t *testing.T) {
	r := &Registry{}
	scenarios := []struct {
		name   string
		change Change
		want   int
	}{
		{"a new target", Change{"k", 1, entry(1)}, 1},
		{"a heartbeat", Change{"k", 2, entry(2)}, 0},
		{"the target starts leaving", Change{"k", 3, entry(3, leaving)}, 1},
		{"a removal", Change{"k", 4, nil}, 1},
	}
	for _, s := range scenarios {
		if got := len(r.Apply(begin, []Change{s.change}, s.change.Version)); got != s.want {
			t.Errorf("%s: got %d significant changes, want %d", s.name, got, s.want)
		}
	}
}

// Guards against versions of a store that was restored from a copy being taken for those of before, or the reverse.
func TestRegistrationsAfterARestoreOfTheStore(t *testing.T) {
	v := storeversion.New
	scenarios := []struct {
		name  string
		apply func(r *Registry)
		want  string
	}{
		{"the copy has an older entry", func(r *Registry) { r.Replace(begin, []Change{{"k", v(2, 3), entry(2)}}, v(2, 3)) }, "there leaving"},
		{"the target writes again", func(r *Registry) { r.Replace(begin, []Change{{"k", v(2, 3), entry(9, leaving)}}, v(2, 3)) }, "there leaving"},
		{"another incarnation", func(r *Registry) { r.Replace(begin, []Change{{"k", v(2, 3), entry(1, restarted)}}, v(2, 3)) }, "there"},
		{"the copy lacks the entry", func(r *Registry) { r.Replace(begin, nil, v(2, 3)) }, "there leaving doubtful"},
		{"a listing of the old era arrives last", func(r *Registry) {
			r.Replace(begin, []Change{{"k", v(2, 3), entry(1, restarted)}}, v(2, 3))
			r.Replace(begin, nil, v(1, 99))
		}, "there"},
		{"changes of the old era arrive last", func(r *Registry) {
			r.Replace(begin, []Change{{"k", v(2, 3), entry(1, restarted)}}, v(2, 3))
			r.Apply(begin, []Change{{"k", v(1, 99), nil}}, v(1, 99))
		}, "there"},
		{"changes of the new era without a listing", func(r *Registry) { r.Apply(begin, []Change{{"k", v(2, 3), nil}}, v(2, 3)) }, "there leaving"},
		{"removed, then in the copy", func(r *Registry) {
			r.Apply(begin, []Change{{"k", v(1, 8), nil}}, v(1, 8))
			r.Replace(begin, []Change{{"k", v(2, 3), entry(5, leaving)}}, v(2, 3))
		}, "absent"},
		{"removed, then in the copy, then registered again", func(r *Registry) {
			r.Apply(begin, []Change{{"k", v(1, 8), nil}}, v(1, 8))
			r.Replace(begin, []Change{{"k", v(2, 3), entry(5, leaving)}}, v(2, 3))
			r.Apply(begin, []Change{{"k", v(2, 4), entry(1, restarted)}}, v(2, 4))
		}, "there"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := &Registry{RecoveryGrace: 2 * time.Second}
			r.Replace(begin, []Change{{"k", v(1, 7), entry(5, leaving)}}, v(1, 7))
			s.apply(r)
			if got := visibleState(r, begin.Add(time.Second)); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}

// Guards against one odd registration that decides on the slots of all targets.
func TestSlotsAreThoseOfMostTargets(t *testing.T) {
	for range 20 {
		r := &Registry{}
		for i, slots := range []int{3, maxSlots, 3, 1, 3} {
			key := string(rune('a' + i))
			r.Apply(begin, []Change{{key, storeversion.Version(i + 1), entry(1, func(e *Registration) { e.Slots = slots })}}, storeversion.Version(i+1))
		}
		if got := r.Slots("s"); got != 3 {
			t.Fatalf("got %d slots, want 3", got)
		}
	}
}
