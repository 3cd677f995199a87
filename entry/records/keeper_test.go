package records

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/catalog"
	"poplarworks/core/invariant"
	"poplarworks/core/limits"
	"poplarworks/core/record"
	"poplarworks/core/recordformat"
	"poplarworks/entry/common"
	"poplarworks/entry/objects"
	"poplarworks/entry/settings"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
	"poplarworks/standin/platform"
)

// rig runs the keepers of several entries on one stand-in platform.
type rig struct {
	t   *testing.T
	url string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	server := httptest.NewServer((&platform.Server{}).Handler())
	t.Cleanup(server.Close)
	return &rig{t: t, url: server.URL}
}

// keeper starts a keeper. The records that it would send to its peers go to shared.
func (r *rig) keeper(name string, shared func([]record.Record)) *Keeper {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := &common.Common{
		Settings: settings.Settings{Name: name, PlatformTimeout: 200 * time.Millisecond, PollInterval: 20 * time.Millisecond},
		Logger:   logger,
		Metrics:  metrics.NewRegistry(),
		Check:    &invariant.Checker{Fail: func(violation string) { r.t.Error("invariant: " + violation) }},
	}
	limitedStore := &store.Store{Common: c, Client: &table.Client{URL: r.url, HTTP: &http.Client{}}}
	limitedStore.SetLimits(limits.Limits{ReadsPerSecond: 100_000, WritesPerSecond: 100_000, MaxEntries: 1})
	k := &Keeper{
		Common: c, Table: limitedStore, Objects: &objects.Client{URL: r.url, HTTP: &http.Client{}},
		Broadcast: shared, OnChange: func(*catalog.Catalog) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

func ignoreShared([]record.Record) {}

func (r *rig) fault(part, text string) {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, r.url+"/control/fault/"+part, strings.NewReader(text))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func service(t *testing.T, name string, port int) record.Record {
	t.Helper()
	text := fmt.Sprintf(`{"schema": 2, "kind": "service", "name": %q, "targets": [{"name": "a", "address": "127.0.0.1:%d"}]}`, name, port)
	rec, err := recordformat.Decode("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func put(k *Keeper, rec record.Record, id string, replaces uint64) (record.Record, error) {
	rec.WriteID = id
	return k.Put(context.Background(), rec, replaces)
}

func TestPutReplacesTheGivenRevision(t *testing.T) {
	r := newRig(t)
	k := r.keeper("entry-1", ignoreShared)
	await(t, "ready", k.Ready)
	first, err := put(k, service(t, "s", 1), "ann/1", 0)
	if err != nil || first.Revision != 1 {
		t.Fatalf("got revision %d (%v), want 1", first.Revision, err)
	}
	existing, err := put(k, service(t, "s", 2), "bob/1", 0)
	if !errors.Is(err, ErrConflict) || existing.WriteID != "ann/1" {
		t.Errorf("got %v over %q, want a conflict with ann's write", err, existing.WriteID)
	}
	if repeated, err := put(k, service(t, "s", 1), "ann/1", 0); err != nil || repeated.Revision != 1 {
		t.Errorf("got revision %d (%v) for the repeated write, want 1", repeated.Revision, err)
	}
	second, err := put(k, service(t, "s", 2), "bob/2", 1)
	if err != nil || second.Revision != 2 {
		t.Errorf("got revision %d (%v), want 2", second.Revision, err)
	}
	if repeated, err := put(k, service(t, "s", 1), "ann/1", 0); err != nil || repeated.Revision != 1 {
		t.Errorf("got revision %d (%v) for a write that was replaced since, want 1", repeated.Revision, err)
	}
	tombstone := record.Record{Key: second.Key, Deleted: true}
	if _, err := put(k, tombstone, "bob/3", 2); err != nil {
		t.Errorf("got %v for the deletion, want none", err)
	}
	if recreated, err := put(k, service(t, "s", 3), "bob/4", 0); err != nil || recreated.Revision != 4 {
		t.Errorf("got revision %d (%v) over the tombstone, want 4", recreated.Revision, err)
	}
}

func TestPutRecoversFromLostResponses(t *testing.T) {
	r := newRig(t)
	k := r.keeper("entry-1", ignoreShared)
	await(t, "ready", k.Ready)
	for i := range 6 {
		r.fault("table", `{"lose-answers": 0.5}`)
		accepted, err := put(k, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		r.fault("table", `{}`)
		if err != nil && !errors.Is(err, ErrUnknown) && !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("got %v, want accepted, down or unknown", err)
		}
		time.Sleep(2500 * time.Millisecond) // until the breaker has closed again
		repeated, err := put(k, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		if err != nil {
			t.Fatalf("got %v for the repeated write, want it accepted", err)
		}
		if accepted.Revision != 0 && repeated.Revision != accepted.Revision {
			t.Errorf("got revision %d, want %d as accepted before", repeated.Revision, accepted.Revision)
		}
	}
}

func TestOneOfTwoConcurrentWritesIsAccepted(t *testing.T) {
	r := newRig(t)
	one, two := r.keeper("entry-1", ignoreShared), r.keeper("entry-2", ignoreShared)
	await(t, "ready", func() bool { return one.Ready() && two.Ready() })
	revision := uint64(0)
	for i := range 20 {
		var group sync.WaitGroup
		acceptedRevisions := make(chan uint64, 2)
		for operator, k := range []*Keeper{one, two} {
			group.Go(func() {
				accepted, err := put(k, service(t, "s", 1+i), fmt.Sprint(operator, "/", i), revision)
				if err == nil {
					acceptedRevisions <- accepted.Revision
				} else if !errors.Is(err, ErrConflict) {
					t.Errorf("got %v, want a conflict", err)
				}
			})
		}
		group.Wait()
		close(acceptedRevisions)
		if len(acceptedRevisions) != 1 {
			t.Fatalf("got %d writes accepted, want 1", len(acceptedRevisions))
		}
		revision = <-acceptedRevisions
	}
}

func TestEntryThatMissedChangesCatchesUp(t *testing.T) {
	r := newRig(t)
	one := r.keeper("entry-1", ignoreShared)
	await(t, "ready", one.Ready)
	var acceptedRecords []record.Record
	for i := range 5 {
		accepted, err := put(one, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		if err != nil {
			t.Fatal(err)
		}
		acceptedRecords = append(acceptedRecords, accepted)
	}
	two := r.keeper("entry-2", ignoreShared)
	two.Receive(acceptedRecords[4:], 0) // receiving only the newest record must not make the entry skip the others
	await(t, "all five records", func() bool { return len(two.Catalog().All()) == 5 && two.CompleteRevision() == 5 })
}

func TestStartLoadsFromAnyAvailableSource(t *testing.T) {
	scenarios := []struct {
		name   string
		faults map[string]string
		peer   bool
	}{
		{"the table alone", map[string]string{"objects": `{"outage": true}`}, false},
		{"the snapshot alone", map[string]string{"table": `{"outage": true}`}, false},
		{"a peer alone", map[string]string{"table": `{"outage": true}`, "objects": `{"hang": true}`}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newRig(t)
			one := r.keeper("entry-1", ignoreShared)
			await(t, "ready", one.Ready)
			if _, err := put(one, service(t, "s", 1), "ann/1", 0); err != nil {
				t.Fatal(err)
			}
			await(t, "the snapshot", func() bool { _, head, err := one.readSnapshot(context.Background()); return err == nil && head == 1 })
			for part, text := range s.faults {
				r.fault(part, text)
			}
			two := r.keeper("entry-2", ignoreShared)
			if s.peer {
				time.Sleep(100 * time.Millisecond)
				if two.Ready() {
					t.Fatal("got ready without any source, want not")
				}
				two.Receive(one.ChangedSince(0))
			}
			await(t, "the record", func() bool { return two.Ready() && two.CompleteRevision() == 1 && len(two.Catalog().Services()) == 1 })
		})
	}
}

func TestTableRestoredToAnEarlierStateIsRepairedWithoutReverting(t *testing.T) {
	r := newRig(t)
	one := r.keeper("entry-1", ignoreShared)
	await(t, "ready", one.Ready)
	for i := range 4 {
		if _, err := put(one, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0); err != nil {
			t.Fatal(err)
		}
	}
	// The entry has newer records than its table, as after the table was restored to an earlier state.
	two := newRig(t).keeper("entry-2", ignoreShared)
	await(t, "ready", two.Ready)
	two.Receive(one.ChangedSince(0))
	await(t, "the table repaired", func() bool {
		rows, err := two.Table.Get(context.Background(), headKey, recordPrefix+"service/s3")
		return err == nil && parseHead(rows[0]) == 4 && rows[1].Version > 0
	})
	if got := len(two.Catalog().Services()); got != 4 {
		t.Errorf("got %d services in force, want 4", got)
	}
}
