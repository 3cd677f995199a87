package roster

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/service"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
	"poplarworks/entry/settings"
)

// fakeStore holds the list of entries in memory. Its first calls of PutEntry fail, as many as failures says.
type fakeStore struct {
	mu       sync.Mutex
	members  map[string]membership.Member
	version  storeversion.Version
	failures int
	writes   int
}

func (f *fakeStore) PutEntry(_ context.Context, m membership.Member) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return errors.New("busy")
	}
	f.writes++
	f.members[m.Name] = m
	return nil
}

func (f *fakeStore) RemoveEntry(_ context.Context, m membership.Member) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, m.Name)
	return nil
}

func (f *fakeStore) Entries(context.Context) (entrylist.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	list := entrylist.List{Version: f.version}
	for _, m := range f.members {
		list.Members = append(list.Members, m)
	}
	return list, nil
}

func member(n int, dataCentre string) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("entry-%d", n), Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n)), DataCentre: dataCentre,
	}
}

func run(t *testing.T, f *fakeStore, self membership.Member, newFleet bool) *Roster {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &Roster{
		Common: &common.Common{
			Settings: settings.Settings{Name: self.Name, DataCentre: self.DataCentre}, Logger: logger, Metrics: metrics.NewRegistry(),
		},
		Store: f, Peer: self.Peer, NewFleet: newFleet, ReadsStore: func() bool { return false },
		HasFollower: func(string) bool { return false }, OnChange: func(entrylist.List) {},
	}
	r.Start()
	go r.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); r.Size() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	return r
}

func TestEntriesEnrolOnce(t *testing.T) {
	scenarios := []struct {
		name     string
		listed   []membership.Member
		failures int
		want     int // Rows written.
	}{
		{"the first start", nil, 0, 1},
		{"a store that fails at first", nil, 1, 1},
		{"a restart at the same address", []membership.Member{member(1, "a")}, 0, 0},
		{"a restart in another data centre", []membership.Member{member(1, "b")}, 0, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := &fakeStore{members: map[string]membership.Member{}, failures: s.failures}
			for _, m := range s.listed {
				f.members[m.Name] = m
			}
			r := run(t, f, member(1, "a"), len(s.listed) == 0)
			for end := time.Now().Add(5 * time.Second); !r.enrolled() && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if got := f.members["entry-1"]; got != member(1, "a") {
				t.Errorf("got row %+v, want this entry's", got)
			}
			if f.writes != s.want {
				t.Errorf("got %d rows written, want %d", f.writes, s.want)
			}
		})
	}
}

// All entries of a data centre agree on the order, so exactly one has no leader.
func TestOneEntryOfADataCentreComesFirst(t *testing.T) {
	f := &fakeStore{members: map[string]membership.Member{}}
	for n := range 6 {
		m := member(n, []string{"a", "b"}[n%2])
		f.members[m.Name] = m
	}
	first := map[string]int{}
	for n := range 6 {
		self := member(n, []string{"a", "b"}[n%2])
		r := run(t, f, self, false)
		if r.IsLeader() {
			first[self.DataCentre]++
		}
		for _, leader := range r.Leaders() {
			if int(leader.Port())%2 != n%2 {
				t.Errorf("%s has a leader of another data centre", self.Name)
			}
		}
	}
	if first["a"] != 1 || first["b"] != 1 {
		t.Errorf("got %v entries that come first, want one in each data centre", first)
	}
}

func TestEntriesWithMoreBandwidthComeFirst(t *testing.T) {
	f := &fakeStore{members: map[string]membership.Member{}}
	for n := range 5 {
		m := member(n, "a")
		m.Bandwidth = 10
		if n == 3 {
			m.Bandwidth = 200
		}
		f.members[m.Name] = m
	}
	r := run(t, f, member(9, "a"), false)
	if got := r.Leaders(); len(got) != 5 || got[0] != member(3, "a").Peer {
		t.Errorf("got leaders %v, want entry-3 first of five", got)
	}
}

// newList returns a list of the given version and members.
func newList(version storeversion.Version, members ...membership.Member) entrylist.List {
	return entrylist.List{Version: version, Members: members}
}

func TestTheNewestListIsApplied(t *testing.T) {
	one, two := member(1, "a"), member(2, "a")
	scenarios := []struct {
		name     string
		received entrylist.List
		want     int
	}{
		{"a leader's newer list", newList(9, one, two), 2},
		{"a leader's older list", newList(0, one, two), 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := run(t, &fakeStore{members: map[string]membership.Member{one.Name: one}}, one, false)
			r.Update(s.received)
			if got := r.Size(); got != s.want {
				t.Errorf("got %d entries, want %d", got, s.want)
			}
		})
	}
}

func TestEntriesAreSortedByName(t *testing.T) {
	one, two, three := member(1, "a"), member(2, "b"), member(3, "a")
	r := run(t, &fakeStore{members: map[string]membership.Member{one.Name: one, two.Name: two, three.Name: three}}, two, false)
	want := []service.Entry{{Name: one.Name, DataCentre: "a"}, {Name: two.Name, DataCentre: "b"}, {Name: three.Name, DataCentre: "a"}}
	if got := r.Entries(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestAnEntryMissingFromTheListEnrolsAgain(t *testing.T) {
	self := member(1, "a")
	f := &fakeStore{members: map[string]membership.Member{self.Name: self}}
	r := run(t, f, self, false)
	r.Update(newList(9, member(2, "a")))
	r.maintain(t.Context())
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writes != 1 {
		t.Errorf("got %d rows written, want 1", f.writes)
	}
}

// VMs are replaced over months. Only entries of this data centre that stay unreachable are removed from the list.
func TestUnreachableEntriesAreRemovedFromTheList(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	members := map[string]membership.Member{}
	for n := range 6 {
		m := member(n, "a")
		m.Peer = netip.MustParseAddrPort(listener.Addr().String())
		members[m.Name] = m
	}
	unreachable, remote := member(7, "a"), member(8, "b")
	unreachable.Peer, remote.Peer = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:1")
	members[unreachable.Name], members[remote.Name] = unreachable, remote
	f := &fakeStore{members: members}
	for n := range 6 {
		r := run(t, f, members[fmt.Sprintf("entry-%d", n)], false)
		for range maxMissedChecks {
			r.maintain(t.Context())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, listed := f.members[unreachable.Name]; listed || len(f.members) != 7 {
		t.Errorf("got %d entries on the list, %s among them: %t; want 7 without it", len(f.members), unreachable.Name, listed)
	}
}

// Guards against an entry that stays off the list after the store was restored from a copy without its row.
func TestARestoredStoreGetsTheRowsOfEntriesAgain(t *testing.T) {
	self, other, late := member(1, "a"), member(2, "a"), member(3, "a")
	all := map[string]membership.Member{self.Name: self, other.Name: other, late.Name: late}
	scenarios := []struct {
		name   string
		copied []membership.Member
		reads  bool // the entry reads the store itself; otherwise its leader tells it the list
		writes int
	}{
		{"the row of a leader is lost", []membership.Member{other}, true, 1},
		{"the row of a follower is lost", []membership.Member{other}, false, 1},
		{"the row of another entry is lost", []membership.Member{self, other}, true, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			f := &fakeStore{members: maps.Clone(all), version: storeversion.New(1, 50)}
			r := run(t, f, self, false)
			r.ReadsStore = func() bool { return s.reads }
			f.mu.Lock()
			f.version, f.members = storeversion.New(2, 10), map[string]membership.Member{}
			for _, m := range s.copied {
				f.members[m.Name] = m
			}
			f.mu.Unlock()
			r.StoreRestored()
			if !s.reads {
				r.Update(newList(storeversion.New(2, 11), s.copied...))
			}
			time.Sleep(restoreDelay / 2)
			if got := r.Size(); got != len(all) {
				t.Errorf("got %d entries in force after the restore, want %d until the others have enrolled again", got, len(all))
			}
			f.mu.Lock()
			got := f.writes
			f.mu.Unlock()
			if got != s.writes {
				t.Errorf("got %d rows written, want %d", got, s.writes)
			}
			time.Sleep(2 * restoreDelay)
			if got, want := r.Size(), 2; s.reads && got != want {
				t.Errorf("got %d entries after the delay, want the %d that the store has", got, want)
			}
		})
	}
}
