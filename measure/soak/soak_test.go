package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"poplarworks/standin/backend"
)

func TestASeededSoakBreaksNoPromise(t *testing.T) {
	for _, seed := range []uint64{101, 102} {
		run := &Run{Seed: seed, Duration: 5 * time.Second, Entries: EntryCount, Targets: TargetCount, Out: os.Stdout}
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
		{"a request that a planned stop cuts", func(w *World, _ *backend.Target, to netip.AddrPort) answer {
			begun := time.Now()
			w.history = []history{{stopped: []time.Time{begun.Add(-time.Millisecond)}}}
			send(http.DefaultClient, to, http.MethodGet, "/status/x", "x")
			return answer{id: "x", begun: begun, at: time.Now()}
		}, "cut by a planned stop"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := emptyWorld()
			target, err := w.Join(context.Background(), "fees")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				target.Stop()
				w.path(target).Cut()
			})
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

func TestTheBudgetOfExtraAttemptsIsChecked(t *testing.T) {
	begun := time.Now()
	scenarios := []struct {
		name     string
		requests int
		extras   int
		spread   time.Duration // over which all of them arrive
		want     int
	}{
		{"within the slack", 0, extraSlack, time.Second, 0},
		{"beyond the slack", 0, extraSlack + 2, time.Second, 1},
		{"within the ratio", 100, extraSlack + 15, time.Second, 0},
		{"beyond the ratio", 100, extraSlack + 25, time.Second, 1},
		{"over a longer time", 0, 2 * extraSlack, 3 * budgetWindow, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			arrivals := []backend.Execution{{ID: "again", At: begun}}
			for i := range s.requests {
				arrivals = append(arrivals, backend.Execution{ID: fmt.Sprint(i), At: begun.Add(s.spread * time.Duration(i) / time.Duration(s.requests))})
			}
			for i := range s.extras {
				arrivals = append(arrivals, backend.Execution{ID: "again", At: begun.Add(time.Millisecond + s.spread*time.Duration(i)/time.Duration(s.extras))})
			}
			if got := checkBudget("s", arrivals); len(got) != s.want {
				t.Errorf("got %q, want %d breaches", got, s.want)
			}
		})
	}
}

func TestAnEntryMustNotGoBackToAnOlderConfiguration(t *testing.T) {
	type look struct {
		starts int
		number uint64
		status int
		due    bool
		breach bool
	}
	scenarios := []struct {
		name  string
		looks []look
	}{
		{"a newer one that is not due", []look{{number: 2, status: 200}, {number: 4, status: 404}}},
		{"a newer one that is due", []look{{number: 2, status: 200}, {number: 4, status: 404, due: true, breach: true}}},
		{"back behind one that was served", []look{{number: 4, status: 200}, {number: 4, status: 404, breach: true}}},
		{"another process may not know it yet", []look{{number: 4, status: 200}, {starts: 1, number: 4, status: 404}}},
		{"refusals say nothing", []look{{number: 4, status: 200}, {number: 4, status: 503}, {number: 4, status: 0}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			watch := newConfigurationWatch(1)
			for i, l := range s.looks {
				got := watch.look(0, l.starts, configured{number: l.number}, l.status, l.due)
				if (got != "") != l.breach {
					t.Errorf("look %d: got %q, want a breach: %t", i+1, got, l.breach)
				}
			}
		})
	}
}
