package discovery

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/catalog"
	"poplarworks/core/configuration"
	"poplarworks/core/registry"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
)

var errUnavailable = errors.New("away")

// fakeStore is a store in memory with faults that the tests inject.
type fakeStore struct {
	mu                 sync.Mutex
	changes            []registry.Change
	text               *configuration.Text
	unavailable        bool
	historyDropped     bool
	calls              int
	listings           int
	configurationsRead int  // Calls that returned a new configuration.
	hanging            bool // A call that waits for a configuration and starts now gets no response.
}

func (f *fakeStore) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) read() ([]registry.Change, storeversion.Version, error) {
	f.calls++
	if f.unavailable {
		return nil, 0, errUnavailable
	}
	newest := storeversion.Version(0)
	for _, c := range f.changes {
		newest = max(newest, c.Version)
	}
	return append([]registry.Change(nil), f.changes...), newest, nil
}

func (f *fakeStore) Targets(context.Context) ([]registry.Change, storeversion.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listings++
	return f.read()
}

func (f *fakeStore) Changes(context.Context, storeversion.Version) ([]registry.Change, storeversion.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.historyDropped {
		f.historyDropped = false
		return nil, 0, ErrHistoryDropped
	}
	return f.read()
}

func (f *fakeStore) Configuration(context.Context) (*configuration.Text, storeversion.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unavailable {
		return nil, 0, errUnavailable
	}
	return f.text, f.text.Revision, nil
}

func (f *fakeStore) NextConfiguration(
	ctx context.Context, after storeversion.Version, _ time.Duration,
) (*configuration.Text, storeversion.Version, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	if f.hanging {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, 0, ctx.Err()
	}
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, 0, errUnavailable
	}
	if f.text.Revision <= after {
		return nil, after, nil
	}
	f.configurationsRead++
	return f.text, f.text.Revision, nil
}

func registration(key string, version storeversion.Version, leaving bool) registry.Change {
	return registry.Change{Key: key, Version: version, Registration: &registry.Registration{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 3, Sequence: version.Number(), Leaving: leaving,
	}}
}

// decode returns a configuration with one rule, whose name is the text.
func decode(t configuration.Text) (*configuration.Configuration, error) {
	if string(t.Value) == "bad" {
		return nil, errors.New("bad")
	}
	return &configuration.Configuration{
		Revision: t.Revision, Number: t.Revision.Number(),
		Rules:    []rule.Rule{{Name: string(t.Value), Service: "s"}},
		Services: []service.Service{{Name: "s"}},
	}, nil
}

func start(t *testing.T, f *fakeStore, change ...func(k *Watcher)) *Watcher {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := &Watcher{
		Common: &common.Common{Logger: logger, Metrics: metrics.NewRegistry()},
		Source: f, PollInterval: 10 * time.Millisecond, ConfigurationTimeout: time.Second, MaxStaleness: 200 * time.Millisecond,
		IsLeader: func() bool { return true }, Decode: decode,
		OnChange: func(*catalog.Catalog) {}, CompleteService: func(*service.Service) {}, Publish: func(storeupdate.Update) {},
	}
	for _, c := range change {
		c(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

// state returns the name of the rule in force and those of the targets, with a suffix on targets that drain.
func state(k *Watcher) string {
	c := k.Catalog()
	text := ""
	if r, ok := c.Match("", "GET", ""); ok {
		text = r.Name
	}
	for _, s := range c.Services() {
		for _, target := range s.Targets {
			text += " " + target.Name
			if target.Leaving {
				text += "-leaving"
			}
		}
	}
	return text
}

func await(t *testing.T, k *Watcher, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = state(k); got == want {
			return
		}
	}
	t.Fatalf("got %q, want %q", got, want)
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		changes: []registry.Change{registration("a", 1, false), registration("b", 2, false)},
		text:    &configuration.Text{Revision: 3, Value: []byte("one")},
	}
}

func TestChangesAtTheStoreAreApplied(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(f *fakeStore)
		want   string
	}{
		{"nothing changes", func(*fakeStore) {}, "one a b"},
		{"a target leaves", func(f *fakeStore) { f.changes = append(f.changes, registration("b", 9, true)) }, "one a b-leaving"},
		{"a target is removed", func(f *fakeStore) { f.changes = append(f.changes, registry.Change{Key: "b", Version: 9}) }, "one a"},
		{"the store drops the history together with a change", func(f *fakeStore) {
			f.changes, f.historyDropped = []registry.Change{registration("a", 9, false)}, true
		}, "one a"},
		{"a new configuration", func(f *fakeStore) { f.text = &configuration.Text{Revision: 9, Value: []byte("two")} }, "two a b"},
		{"a configuration that cannot be decoded is ignored", func(f *fakeStore) { f.text = &configuration.Text{Revision: 9, Value: []byte("bad")} }, "one a b"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFakeStore()
			k := start(t, f)
			await(t, k, "one a b")
			f.locked(func() { s.change(f) })
			time.Sleep(50 * time.Millisecond)
			await(t, k, s.want)
		})
	}
}

func TestAnOutageKeepsTheStateAndChangesApplySoonAfterIt(t *testing.T) {
	f := newFakeStore()
	k := start(t, f)
	await(t, k, "one a b")
	f.locked(func() { f.unavailable = true })
	time.Sleep(300 * time.Millisecond)
	if got, want := state(k), "one a b"; got != want {
		t.Errorf("during the outage: got %q, want %q", got, want)
	}
	f.locked(func() { f.unavailable, f.changes = false, append(f.changes, registration("a", 9, true)) })
	await(t, k, "one a-leaving b")
}

// An entry with fresh updates from a leader makes no call to the store. Once they are older than MaxStaleness, it reads
// the store itself.
func TestAnEntryWithAFreshLeaderDoesNotReadTheStore(t *testing.T) {
	f := newFakeStore()
	k := start(t, f)
	await(t, k, "one a b")
	for n := range 10 {
		version := storeversion.Version(20 + n)
		k.Receive(storeupdate.Update{Version: version, Registrations: []registry.Change{registration("c", version, false)}})
		time.Sleep(20 * time.Millisecond)
	}
	before := 0
	f.locked(func() { before = f.calls })
	k.Receive(storeupdate.Update{Version: 40, Registrations: []registry.Change{registration("c", 40, true)}})
	time.Sleep(100 * time.Millisecond)
	after := 0
	f.locked(func() { after = f.calls })
	if after != before {
		t.Errorf("got %d calls with a fresh leader, want none", after-before)
	}
	await(t, k, "one a b c-leaving")
	f.locked(func() { f.changes = append(f.changes, registration("a", 50, true)) })
	await(t, k, "one a-leaving b c-leaving")
}

func TestAnOlderConfigurationIsIgnored(t *testing.T) {
	k := start(t, newFakeStore())
	await(t, k, "one a b")
	k.Configure(configuration.Text{Revision: 10, Value: []byte("new")})
	k.Receive(storeupdate.Update{Configuration: []byte("old"), Revision: 5})
	if got, want := state(k), "new a b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// While the store is unavailable, every entry tries to follow the others. A snapshot for each of them would cost more
// than serving callers, so an entry with stale data returns none.
func TestAnEntryWithStaleDataReturnsNoSnapshot(t *testing.T) {
	f := newFakeStore()
	k := start(t, f)
	await(t, k, "one a b")
	if _, ok := k.Snapshot(); !ok {
		t.Error("while the store responds: got no snapshot, want one")
	}
	f.locked(func() { f.unavailable = true })
	time.Sleep(2 * k.MaxStaleness)
	if _, ok := k.Snapshot(); ok {
		t.Error("after an outage of the store: got a snapshot, want none")
	}
}

// The operator may write many configurations in quick succession, as after an outage. Each must not cost a call.
func TestRapidConfigurationsAreReadInFewCalls(t *testing.T) {
	const pause, length = 100 * time.Millisecond, 500 * time.Millisecond
	f := newFakeStore()
	k := start(t, f, func(k *Watcher) { k.ConfigurationDelay = pause })
	await(t, k, "one a b")
	started, revision := time.Now(), storeversion.Version(10)
	for ; time.Since(started) < length; revision++ {
		f.locked(func() { f.text = &configuration.Text{Revision: revision, Value: []byte("next")} })
		time.Sleep(5 * time.Millisecond)
	}
	elapsed := time.Since(started)
	f.locked(func() { f.text = &configuration.Text{Revision: revision, Value: []byte("last")} })
	await(t, k, "last a b")
	f.locked(func() {
		if maxCalls := int(elapsed/pause) + 2; f.configurationsRead > maxCalls {
			t.Errorf("got %d calls that returned a configuration in %v, want at most %d", f.configurationsRead, elapsed, maxCalls)
		}
	})
}

// If the network path to the store drops packets in one direction for a while, a call that was in flight never gets a
// response. The entry must cancel it rather than wait for its timeout.
func TestAHangingCallDoesNotDelayAConfiguration(t *testing.T) {
	f := newFakeStore()
	k := start(t, f)
	await(t, k, "one a b")
	f.locked(func() { f.hanging = true })
	time.Sleep(50 * time.Millisecond)
	f.locked(func() { f.unavailable = true })
	time.Sleep(50 * time.Millisecond)
	f.locked(func() {
		f.hanging, f.unavailable, f.text = false, false, &configuration.Text{Revision: 9, Value: []byte("two")}
	})
	await(t, k, "two a b")
}

// An entry that starts during an outage of the store refuses callers until it notices that the store is back.
func TestAnEntryThatStartsInAnOutageIsReadySoonAfterIt(t *testing.T) {
	f := newFakeStore()
	f.unavailable = true
	k := start(t, f)
	time.Sleep(4 * time.Second)
	f.locked(func() { f.unavailable = false })
	recovered := time.Now()
	await(t, k, "one a b")
	if got := time.Since(recovered); got > time.Second {
		t.Errorf("got ready %v after the store recovered, want at most 1s", got)
	}
}

// Guards against updates of a leader that has not noticed the restore of the store.
func TestUpdatesFromBeforeARestoreAreIgnored(t *testing.T) {
	f := newFakeStore()
	f.changes, f.text.Revision = []registry.Change{registration("a", storeversion.New(2, 1), false)}, storeversion.New(2, 1)
	k := start(t, f)
	await(t, k, "one a")
	old := storeversion.New(1, 50)
	k.Receive(storeupdate.Update{Version: old, Registrations: []registry.Change{registration("b", old, false)}})
	k.Receive(storeupdate.Update{Full: true, Version: old, Configuration: []byte("old"), Revision: old})
	if got, want := state(k), "one a"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if !k.ReadsStore() {
		t.Error("got a fresh leader, want the entry to read the store itself")
	}
}

// Guards against changes that are applied to the registrations of another era, from which they do not continue.
func TestAFollowerTakesANewEraOnlyWithAllRegistrations(t *testing.T) {
	f := newFakeStore()
	restores := 0
	k := start(t, f, func(k *Watcher) { k.OnRestore = func() { restores++ } })
	await(t, k, "one a b")
	f.locked(func() { f.unavailable = true })
	time.Sleep(20 * time.Millisecond)
	next := storeversion.New(1, 2)
	k.Receive(storeupdate.Update{Version: next, Registrations: []registry.Change{registration("c", next, false)}})
	if got, want := state(k), "one a b"; got != want {
		t.Errorf("after changes alone: got %q, want %q", got, want)
	}
	k.Receive(storeupdate.Update{Full: true, Version: next, Registrations: []registry.Change{
		registration("a", next, false), registration("b", next, false), registration("c", next, false),
	}})
	if got, want := state(k), "one a b c"; got != want {
		t.Errorf("after all registrations: got %q, want %q", got, want)
	}
	if restores != 1 {
		t.Errorf("got %d restores, want 1", restores)
	}
}
