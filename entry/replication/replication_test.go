package replication

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/registry"
	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
	"poplarworks/entry/newspb"
)

func testCommon() *common.Common {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &common.Common{Logger: logger, Metrics: metrics.NewRegistry()}
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func sample(age time.Duration) storeupdate.Update {
	return storeupdate.Update{
		Full: true, Version: storeversion.New(2, 5), Age: age, Configuration: []byte("text"), Revision: storeversion.New(1, 7),
		Registrations: []registry.Change{
			{Key: "a", Version: storeversion.New(2, 3), Registration: &registry.Registration{
				Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "dc", Slots: 3, Leaving: true,
				WarmupRemaining: time.Second, Sequence: 9, Started: time.UnixMilli(1_800_000_000_123),
			}},
			{Key: "b", Version: storeversion.New(2, 4)},
		},
		Entries: &entrylist.List{Version: storeversion.New(2, 2), Members: []membership.Member{
			{Name: "entry-1", Peer: netip.MustParseAddrPort("10.0.0.2:90"), DataCentre: "dc", Bandwidth: 100, Listed: true},
		}},
	}
}

func TestUpdatesSurviveEncoding(t *testing.T) {
	want := sample(20 * time.Millisecond)
	got, err := decode(encode(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// A configuration of thousands of rules must reach forty followers through a link of 10 Mbit/s within two seconds.
func TestALargeConfigurationIsCompressed(t *testing.T) {
	var text []byte
	for i := range 2000 {
		text = fmt.Appendf(text, `{"resourceKind":"routes","metadata":{"name":"r-%x"},"spec":{"hostname":"h%x.example","prefix":"/%x/",
			"kind":"safe","timeoutMs":1200,"targetLatencyMs":300,"priority":2,"service":"huvo11a","maxAttempts":2}},`, i*7919, i%7, i*104729)
	}
	const linkBytes, followers, bound = 10e6 / 8, 40, 2 * time.Second
	wire := encode(storeupdate.Update{Configuration: text, Revision: 1})
	if elapsed := time.Duration(float64(followers*len(wire.GetConfiguration())) / linkBytes * float64(time.Second)); elapsed > bound {
		t.Errorf("got %s for %d bytes, want at most %s", elapsed, len(wire.GetConfiguration()), bound)
	}
}

func TestUpdatesWithABadPeerAddressAreRejected(t *testing.T) {
	wire := encode(sample(0))
	wire.Entries.Entries[0].Peer = "nowhere"
	if _, err := decode(wire); err == nil {
		t.Error("got no error, want one")
	}
}

// Guards against an odd registration that ends the stream of updates of a leader, which may be of an earlier build.
func TestOddRegistrationsInUpdatesCostThemselvesAlone(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(r *newspb.Registration)
	}{
		{"no address", func(r *newspb.Registration) { r.Address = "nowhere" }},
		{"port 0", func(r *newspb.Registration) { r.Address = "10.0.0.1:0" }},
		{"port 65536", func(r *newspb.Registration) { r.Address = "10.0.0.1:65536" }},
		{"unspecified address", func(r *newspb.Registration) { r.Address = "0.0.0.0:80" }},
		{"no slots", func(r *newspb.Registration) { r.Slots = 0 }},
		{"too many slots", func(r *newspb.Registration) { r.Slots = 1 << 31 }},
		{"no service", func(r *newspb.Registration) { r.Service = "" }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			wire, want := encode(sample(0)), sample(0)
			wire.Registrations = append(wire.Registrations, &newspb.Registration{
				Key: "odd", Version: 5, Service: "s", Address: "10.0.0.9:80", Slots: 3,
			})
			s.change(wire.Registrations[2])
			want.Registrations = append(want.Registrations, registry.Change{Key: "odd", Version: storeversion.New(2, 5)})
			got, err := decode(wire)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		})
	}
}

func TestAFollowerFollowsTheFirstLeaderWithFreshUpdates(t *testing.T) {
	scenarios := []struct {
		name    string
		leaders []string // Kinds of leaders: dead, silent, stale, ignorant, good.
		want    bool
	}{
		{"a leader with fresh updates", []string{"good"}, true},
		{"after one that refuses connections", []string{"dead", "good"}, true},
		{"after one that has no data yet", []string{"ignorant", "good"}, true},
		{"after one with stale updates", []string{"stale", "good"}, true},
		{"after one that accepts connections and sends nothing", []string{"silent", "good"}, true},
		{"no leader with fresh updates", []string{"dead", "stale", "ignorant"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			var leaders []netip.AddrPort
			for _, kind := range s.leaders {
				leaders = append(leaders, startLeader(ctx, t, kind))
			}
			received := make(chan storeupdate.Update, 10)
			f := &Follower{
				Common: testCommon(), MaxStaleness: 300 * time.Millisecond,
				Leaders:               func() []netip.AddrPort { return leaders },
				Receive:               func(n storeupdate.Update) { received <- n },
				ConfigurationRevision: func() storeversion.Version { return 0 },
			}
			go f.Run(ctx)
			select {
			case n := <-received:
				if !s.want || n.Version != storeversion.New(2, 5) {
					t.Errorf("got version %d, want an update: %t", n.Version, s.want)
				}
			case <-time.After(1500 * time.Millisecond):
				if s.want {
					t.Error("got no update, want one")
				}
			}
		})
	}
}

// startLeader starts a leader of a kind: dead refuses connections, silent accepts them and sends nothing, stale sends
// old updates, ignorant has no data yet, and any other sends fresh updates.
func startLeader(ctx context.Context, t *testing.T, kind string) netip.AddrPort {
	t.Helper()
	address := freeAddress(t)
	switch kind {
	case "dead":
		return address
	case "silent":
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		return address
	}
	p := &Publisher{Common: testCommon(), Address: address, Snapshot: func() (storeupdate.Update, bool) {
		age := time.Duration(0)
		if kind == "stale" {
			age = time.Second
		}
		return sample(age), kind != "ignorant"
	}}
	if err := p.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return address
}

func TestUpdatesAreQueuedAndAFollowerWithAFullQueueIsDropped(t *testing.T) {
	p := &Publisher{Common: testCommon(), followers: map[chan *newspb.News]string{}}
	queue := p.subscribe("entry-1")
	if !p.HasFollower("entry-1") || p.HasFollower("entry-2") {
		t.Error("got a follower other than entry-1")
	}
	for n := range maxQueuedUpdates + 1 {
		p.Publish(storeupdate.Update{Version: storeversion.Version(n)})
	}
	count := 0
	for range queue {
		count++
	}
	if count != maxQueuedUpdates || len(p.followers) != 0 {
		t.Errorf("got %d updates and %d followers, want %d and none", count, len(p.followers), maxQueuedUpdates)
	}
}
