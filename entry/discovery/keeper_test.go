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
	"poplarworks/core/news"
	"poplarworks/core/registry"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/entry/common"
)

var errAway = errors.New("away")

// fakeStore is a store whose faults the test sets.
type fakeStore struct {
	mu        sync.Mutex
	changes   []registry.Change
	text      *configuration.Text
	away      bool
	forgotten bool
	calls     int
	listings  int
	found     int  // calls that returned a new configuration
	silent    bool // a wait for a configuration that begins now is never answered
}

func (f *fakeStore) with(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) read() ([]registry.Change, uint64, error) {
	f.calls++
	if f.away {
		return nil, 0, errAway
	}
	newest := uint64(0)
	for _, c := range f.changes {
		newest = max(newest, c.Version)
	}
	return append([]registry.Change(nil), f.changes...), newest, nil
}

func (f *fakeStore) Targets(context.Context) ([]registry.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listings++
	return f.read()
}

func (f *fakeStore) Changes(context.Context, uint64) ([]registry.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forgotten {
		f.forgotten = false
		return nil, 0, ErrForgotten
	}
	return f.read()
}

func (f *fakeStore) Configuration(context.Context) (*configuration.Text, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.away {
		return nil, 0, errAway
	}
	return f.text, f.text.Revision, nil
}

func (f *fakeStore) NextConfiguration(ctx context.Context, after uint64, _ time.Duration) (*configuration.Text, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	if f.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, 0, ctx.Err()
	}
	defer f.mu.Unlock()
	if f.away {
		return nil, 0, errAway
	}
	if f.text.Revision <= after {
		return nil, after, nil
	}
	f.found++
	return f.text, f.text.Revision, nil
}

func registered(key string, version uint64, leaving bool) registry.Change {
	return registry.Change{Key: key, Version: version, Entry: &registry.Entry{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 3, Sequence: version, Leaving: leaving,
	}}
}

// decode reads a configuration whose text is its only rule's name.
func decode(t configuration.Text) (*configuration.Configuration, error) {
	if string(t.Value) == "bad" {
		return nil, errors.New("bad")
	}
	return &configuration.Configuration{
		Revision: t.Revision, Number: t.Revision,
		Rules:    []rule.Rule{{Name: string(t.Value), Service: "s"}},
		Services: []service.Service{{Name: "s"}},
	}, nil
}

func start(t *testing.T, f *fakeStore, change ...func(k *Keeper)) *Keeper {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := &Keeper{
		Common: &common.Common{Logger: logger, Metrics: metrics.NewRegistry()},
		Source: f, PollEvery: 10 * time.Millisecond, WaitConfig: time.Second, Patience: 200 * time.Millisecond,
		First: func() bool { return true }, Decode: decode,
		Changed: func(*catalog.Catalog) {}, Fill: func(*service.Service) {}, Publish: func(news.News) {},
	}
	for _, c := range change {
		c(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

// state sums up what is in force.
func state(k *Keeper) string {
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

func await(t *testing.T, k *Keeper, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = state(k); got == want {
			return
		}
	}
	t.Fatalf("got %q, want %q", got, want)
}

func newFake() *fakeStore {
	return &fakeStore{
		changes: []registry.Change{registered("a", 1, false), registered("b", 2, false)},
		text:    &configuration.Text{Revision: 3, Value: []byte("one")},
	}
}

func TestTheStoreIsFollowed(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(f *fakeStore)
		want   string
	}{
		{"nothing changes", func(*fakeStore) {}, "one a b"},
		{"a target leaves", func(f *fakeStore) { f.changes = append(f.changes, registered("b", 9, true)) }, "one a b-leaving"},
		{"a target is gone", func(f *fakeStore) { f.changes = append(f.changes, registry.Change{Key: "b", Version: 9}) }, "one a"},
		{"the history is dropped with a change", func(f *fakeStore) {
			f.changes, f.forgotten = []registry.Change{registered("a", 9, false)}, true
		}, "one a"},
		{"another configuration", func(f *fakeStore) { f.text = &configuration.Text{Revision: 9, Value: []byte("two")} }, "two a b"},
		{"one that cannot be read changes nothing", func(f *fakeStore) { f.text = &configuration.Text{Revision: 9, Value: []byte("bad")} }, "one a b"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFake()
			k := start(t, f)
			await(t, k, "one a b")
			f.with(func() { s.change(f) })
			time.Sleep(50 * time.Millisecond)
			await(t, k, s.want)
		})
	}
}

func TestAnOutageChangesNothingAndEndsQuickly(t *testing.T) {
	f := newFake()
	k := start(t, f)
	await(t, k, "one a b")
	f.with(func() { f.away = true })
	time.Sleep(300 * time.Millisecond)
	if got, want := state(k), "one a b"; got != want {
		t.Errorf("during the outage: got %q, want %q", got, want)
	}
	f.with(func() { f.away, f.changes = false, append(f.changes, registered("a", 9, true)) })
	await(t, k, "one a-leaving b")
}

// An entry with a fresh leader makes no call; without one it reads the store within the leader's patience.
func TestALeaderMakesReadingNeedless(t *testing.T) {
	f := newFake()
	k := start(t, f)
	await(t, k, "one a b")
	for n := range 10 {
		k.Receive(news.News{Version: uint64(20 + n), Registrations: []registry.Change{registered("c", uint64(20+n), false)}})
		time.Sleep(20 * time.Millisecond)
	}
	before := 0
	f.with(func() { before = f.calls })
	k.Receive(news.News{Version: 40, Registrations: []registry.Change{registered("c", 40, true)}})
	time.Sleep(100 * time.Millisecond)
	after := 0
	f.with(func() { after = f.calls })
	if after != before {
		t.Errorf("got %d calls beside a fresh leader, want none", after-before)
	}
	await(t, k, "one a b c-leaving")
	f.with(func() { f.changes = append(f.changes, registered("a", 50, true)) })
	await(t, k, "one a-leaving b c-leaving")
}

func TestAnOlderConfigurationIsNeverPutInForce(t *testing.T) {
	k := start(t, newFake())
	await(t, k, "one a b")
	k.Configure(configuration.Text{Revision: 10, Value: []byte("new")})
	k.Receive(news.News{Configuration: []byte("old"), Revision: 5})
	if got, want := state(k), "new a b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// While the store is away every entry looks for a leader; answering each with all there is would cost more than serving.
func TestAnEntryWithStaleNewsTakesNoFollowers(t *testing.T) {
	f := newFake()
	k := start(t, f)
	await(t, k, "one a b")
	if _, ok := k.Whole(); !ok {
		t.Error("while the store answers: got no news for a follower, want some")
	}
	f.with(func() { f.away = true })
	time.Sleep(2 * k.Patience)
	if _, ok := k.Whole(); ok {
		t.Error("after the store has been away: got news for a follower, want none")
	}
}

// Replays an operator whose writes come in quick succession, as after an outage: each must not cost a call.
func TestARunOfConfigurationsTakesFewCalls(t *testing.T) {
	const pause, length = 100 * time.Millisecond, 500 * time.Millisecond
	f := newFake()
	k := start(t, f, func(k *Keeper) { k.PauseAfter = pause })
	await(t, k, "one a b")
	begun, revision := time.Now(), uint64(10)
	for ; time.Since(begun) < length; revision++ {
		f.with(func() { f.text = &configuration.Text{Revision: revision, Value: []byte("next")} })
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begun)
	f.with(func() { f.text = &configuration.Text{Revision: revision, Value: []byte("last")} })
	await(t, k, "last a b")
	f.with(func() {
		if most := int(took/pause) + 2; f.found > most {
			t.Errorf("got %d calls that found a configuration in %v, want at most %d", f.found, took, most)
		}
	})
}

// Replays a path to the store that falls silent in one direction and heals: the wait that was under way is never answered.
func TestAConfigurationIsInForceSoonAfterTheStoreWasSilent(t *testing.T) {
	f := newFake()
	k := start(t, f)
	await(t, k, "one a b")
	f.with(func() { f.silent = true })
	time.Sleep(50 * time.Millisecond)
	f.with(func() { f.away = true })
	time.Sleep(50 * time.Millisecond)
	f.with(func() {
		f.silent, f.away, f.text = false, false, &configuration.Text{Revision: 9, Value: []byte("two")}
	})
	await(t, k, "two a b")
}

// Replays a start in the middle of an outage: callers are refused until the store's return is noticed.
func TestAnEntryThatStartsInAnOutageIsReadySoonAfterIt(t *testing.T) {
	f := newFake()
	f.away = true
	k := start(t, f)
	time.Sleep(4 * time.Second)
	f.with(func() { f.away = false })
	returned := time.Now()
	await(t, k, "one a b")
	if got := time.Since(returned); got > time.Second {
		t.Errorf("got ready %v after the store's return, want at most 1s", got)
	}
}
