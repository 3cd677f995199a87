package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/plan"
	"poplarworks/measure/trouble"
)

// driver wraps a test's fleet. Its methods end the test on errors and wait for conditions.
type driver struct {
	*fleet.Fleet

	t *testing.T
}

func group(name string) plan.Group {
	return plan.Group{Name: name, Count: 3, Slots: 4, Work: 2 * time.Millisecond, ReportLag: 10 * time.Millisecond}
}

// start starts a fleet with a lookup, a download and a fee rule. It has three entries and two groups of targets
// unless the plan says otherwise. At the end of the test, violated invariants in the entries' logs fail the test.
func start(t *testing.T, p plan.Plan) *driver {
	t.Helper()
	if p.Entries == 0 {
		p.Entries = 3
	}
	if p.Groups == nil {
		p.Groups = []plan.Group{group("status"), group("fees")}
	}
	f, err := fleet.Start(p)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{Fleet: f, t: t}
	t.Cleanup(func() {
		for _, violation := range f.InvariantViolations() {
			t.Error("invariant: " + violation)
		}
		f.Stop()
	})
	d.put(
		f.Groups[0].Service(""),
		f.Groups[1].Service(""),
		`{"schema": 2, "kind": "rule", "name": "lookup", "service": "status", "match": {"path-prefix": "/status"},
			"idempotent": true, "deadline": "3s", "not-run-statuses": [503]}`,
		`{"schema": 1, "kind": "rule", "name": "build", "service": "status", "path": "/builds", "safe-to-repeat": true, "long": true}`,
		`{"schema": 1, "kind": "rule", "name": "fee", "service": "fees", "path": "/fees", "method": "POST", "not-run": [503]}`,
		fmt.Sprintf(`{"schema": 2, "kind": "limits", "name": "default", "reads-per-second": 1000, "writes-per-second": 600, "max-entries": %d}`, p.Entries),
	)
	d.inForce(6)
	return d
}

func (d *driver) put(records ...string) {
	d.t.Helper()
	if err := d.Put(records...); err != nil {
		d.t.Fatal(err)
	}
}

// inForce waits until the revision is in force at every entry, which must happen within 3 s.
func (d *driver) inForce(revision uint64) {
	d.t.Helper()
	if _, err := d.InForce(revision, 3*time.Second); err != nil {
		d.t.Fatal(err)
	}
}

func (d *driver) await(what string, condition func() bool) {
	d.t.Helper()
	if err := d.Await(what, condition); err != nil {
		d.t.Fatal(err)
	}
}

func (d *driver) platform(part string, fault trouble.Platform) {
	d.t.Helper()
	if err := d.Platform(part, fault); err != nil {
		d.t.Fatal(err)
	}
}

// ctl runs poplarctl and checks its exit code.
func (d *driver) ctl(want int, args ...string) string {
	d.t.Helper()
	output, code := d.Ctl(d.Entries[0], args...)
	if code != want {
		d.t.Errorf("poplarctl %s: got exit code %d, want %d: %s", strings.Join(args, " "), code, want, output)
	}
	return output
}

// response is a response as a caller receives it.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// code returns the result code and the execution state from the response's header.
func (r response) code() string {
	return r.header.Get("Poplar-Code") + " " + r.header.Get("Poplar-Run")
}

func (d *driver) send(entry int, method, path, key string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, d.Entries[entry].CallerURL+path, strings.NewReader(key))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	got, err := d.HTTP.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, header: got.Header, body: string(data), err: err}
}

func (d *driver) get(entry int, path string) response { return d.send(entry, http.MethodGet, path, "") }

func (d *driver) pay(entry int, key string) response {
	return d.send(entry, http.MethodPost, "/fees/1", key)
}

// feeKey is the idempotency key whose executions runs counts.
const feeKey = "k1"

// runs returns how often feeKey ran.
func (d *driver) runs() int {
	d.t.Helper()
	runs, err := d.Groups[1].Runs()
	if err != nil {
		d.t.Fatal(err)
	}
	return runs[feeKey]
}

// served checks that a lookup through the entry succeeds.
func (d *driver) served(entry int, path string) {
	d.t.Helper()
	if got := d.get(entry, path); got.status != http.StatusOK {
		d.t.Errorf("got %d %s (%v) for %s at entry %d, want 200", got.status, got.code(), got.err, path, entry)
	}
}

// background sends lookups to the entries in turn until stop is called, which returns a description of each lookup
// that failed.
func (d *driver) background(entries ...int) (stop func() []string) {
	done := make(chan struct{})
	var mu sync.Mutex
	var failures []string
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				entry := entries[(worker+i)%len(entries)]
				if got := d.get(entry, fmt.Sprintf("/status/%d", i)); got.status != http.StatusOK {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("entry %d: %d %s (%v)", entry, got.status, got.header.Get("Poplar-Code"), got.err))
					mu.Unlock()
				}
			}
		})
	}
	return func() []string {
		close(done)
		group.Wait()
		return failures
	}
}
