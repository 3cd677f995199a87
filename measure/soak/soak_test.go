package soak

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"poplarworks/standin/backend"
	"poplarworks/standin/rowstore"
)

func TestASeededSoakBreaksNoPromise(t *testing.T) {
	for _, seed := range []uint64{101, 102} {
		run := &Run{Seed: seed, Duration: 5 * time.Second, Out: os.Stdout}
		breaches, served, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for _, breach := range breaches {
			t.Errorf("seed %d: %s", seed, breach)
		}
		if served < 200 {
			t.Errorf("seed %d: got %d requests served, want enough for the run to mean anything", seed, served)
		}
	}
}

// Shows that the checks can fail: each planted fault is one that they must find.
func TestPlantedFaultsAreFound(t *testing.T) {
	scenarios := []struct {
		name   string
		plant  func(w *World, target *backend.Target, to netip.AddrPort) answer
		breach string
	}{
		{"a payment that runs twice", func(_ *World, _ *backend.Target, to netip.AddrPort) answer {
			send(http.DefaultClient, to, http.MethodPost, "/fees/x", "x")
			send(http.DefaultClient, to, http.MethodPost, "/fees/x", "x")
			return answer{id: "x", payment: true, status: http.StatusBadGateway}
		}, "ran 2 times"},
		{"a payment that ran and is said not to have", func(_ *World, _ *backend.Target, to netip.AddrPort) answer {
			send(http.DefaultClient, to, http.MethodPost, "/fees/x", "x")
			return answer{id: "x", payment: true, status: http.StatusServiceUnavailable}
		}, "told that it had not"},
		{"another request's answer", func(*World, *backend.Target, netip.AddrPort) answer {
			return answer{id: "x", status: http.StatusOK, body: backend.Body("y"), signed: true}
		}, "got \"answer to y\""},
		{"a run long after the target said that it leaves", func(w *World, target *backend.Target, to netip.AddrPort) answer {
			w.left[target.Name] = time.Now().Add(-2 * LeaveWithin)
			send(http.DefaultClient, to, http.MethodGet, "/status/x", "x")
			return answer{id: "x", status: http.StatusBadGateway}
		}, "after it had said"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := &World{Store: &rowstore.Store{}, targets: map[string]*backend.Target{}, gone: map[string]bool{}, left: map[string]time.Time{}}
			target, err := w.Join(context.Background(), "fees")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Stop)
			c := &callers{world: w}
			c.answers = append(c.answers, s.plant(w, target, netip.MustParseAddrPort(target.Address())))
			got, _ := c.check()
			if len(got) != 1 || !strings.Contains(got[0], s.breach) {
				t.Errorf("got %q, want one breach with %q", got, s.breach)
			}
		})
	}
}

func TestARequestThatCrashesTargetsMustBeRefused(t *testing.T) {
	begun := time.Now()
	at := func(id string, after time.Duration) backend.Execution {
		return backend.Execution{ID: id, At: begun.Add(after)}
	}
	known := []backend.Execution{at("crash-disturbed-1", 0), at("crash-calm-2", 0), at("crash-calm-3", time.Second)}
	scenarios := []struct {
		name  string
		id    string
		after time.Duration
		want  int
	}{
		{"through calm entries, long after", "crash-calm", refusedWithin + 2*time.Second, 1},
		{"through calm entries, at once", "crash-calm", refusedWithin, 0},
		{"through entries that have just started", "crash-disturbed", refusedWithin + 2*time.Second, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			crashes := slices.Clone(known)
			for range mostLater + 1 {
				crashes = append(crashes, at(s.id, s.after))
			}
			if got := checkCrashes(crashes); len(got) != s.want {
				t.Errorf("got %q, want %d breaches", got, s.want)
			}
		})
	}
}
