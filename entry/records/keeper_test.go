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
	"poplarworks/core/notation"
	"poplarworks/core/record"
	"poplarworks/entry/common"
	"poplarworks/entry/objects"
	"poplarworks/entry/settings"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
	"poplarworks/standin/platform"
)

// rig is some entries' keepers over one stand-in platform.
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

// keeper starts a keeper; the records that it would tell its peers go to shared.
func (r *rig) keeper(name string, shared func([]record.Record)) *Keeper {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := &common.Common{
		Settings: settings.Settings{Name: name, PlatformTimeout: 200 * time.Millisecond, PollInterval: 20 * time.Millisecond},
		Logger:   logger,
		Metrics:  metrics.NewRegistry(),
		Check:    &invariant.Checker{Fail: func(breach string) { r.t.Error("invariant: " + breach) }},
	}
	guarded := &store.Store{Common: c, Client: &table.Client{URL: r.url, HTTP: &http.Client{}}}
	guarded.Limit(limits.Limits{ReadsPerSecond: 100_000, WritesPerSecond: 100_000, MaxEntries: 1})
	k := &Keeper{
		Common: c, Table: guarded, Objects: &objects.Client{URL: r.url, HTTP: &http.Client{}},
		Share: shared, Changed: func(*catalog.Catalog) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

func alone([]record.Record) {}

func (r *rig) fault(part, text string) {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, r.url+"/control/fault/"+part, strings.NewReader(text))
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = reply.Body.Close()
}

func service(t *testing.T, name string, port int) record.Record {
	t.Helper()
	text := fmt.Sprintf(`{"schema": 2, "kind": "service", "name": %q, "targets": [{"name": "a", "address": "127.0.0.1:%d"}]}`, name, port)
	rec, err := notation.Decode("test", []byte(text))
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

func TestWritesReplaceTheRevisionTheyName(t *testing.T) {
	r := newRig(t)
	k := r.keeper("entry-1", alone)
	await(t, "ready", k.Ready)
	first, err := put(k, service(t, "s", 1), "ann/1", 0)
	if err != nil || first.Revision != 1 {
		t.Fatalf("got revision %d (%v), want 1", first.Revision, err)
	}
	met, err := put(k, service(t, "s", 2), "bob/1", 0)
	if !errors.Is(err, ErrConflict) || met.WriteID != "ann/1" {
		t.Errorf("got %v over %q, want a conflict with ann's write", err, met.WriteID)
	}
	if again, err := put(k, service(t, "s", 1), "ann/1", 0); err != nil || again.Revision != 1 {
		t.Errorf("got revision %d (%v) for the same write again, want 1", again.Revision, err)
	}
	second, err := put(k, service(t, "s", 2), "bob/2", 1)
	if err != nil || second.Revision != 2 {
		t.Errorf("got revision %d (%v), want 2", second.Revision, err)
	}
	if again, err := put(k, service(t, "s", 1), "ann/1", 0); err != nil || again.Revision != 1 {
		t.Errorf("got revision %d (%v) for a write that was replaced since, want 1", again.Revision, err)
	}
	gone := record.Record{Key: second.Key, Deleted: true}
	if _, err := put(k, gone, "bob/3", 2); err != nil {
		t.Errorf("got %v for the deletion, want none", err)
	}
	if back, err := put(k, service(t, "s", 3), "bob/4", 0); err != nil || back.Revision != 4 {
		t.Errorf("got revision %d (%v) over the tombstone, want 4", back.Revision, err)
	}
}

func TestLostAnswersAreSettled(t *testing.T) {
	r := newRig(t)
	k := r.keeper("entry-1", alone)
	await(t, "ready", k.Ready)
	for i := range 6 {
		r.fault("table", `{"lose-answers": 0.5}`)
		accepted, err := put(k, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		r.fault("table", `{}`)
		if err != nil && !errors.Is(err, ErrUnknown) && !errors.Is(err, store.ErrDown) {
			t.Fatalf("got %v, want accepted, down or unknown", err)
		}
		time.Sleep(2500 * time.Millisecond) // until the breaker has closed again
		again, err := put(k, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		if err != nil {
			t.Fatalf("got %v for the write sent again, want it settled", err)
		}
		if accepted.Revision != 0 && again.Revision != accepted.Revision {
			t.Errorf("got revision %d, want %d as accepted before", again.Revision, accepted.Revision)
		}
	}
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	r := newRig(t)
	one, two := r.keeper("entry-1", alone), r.keeper("entry-2", alone)
	await(t, "ready", func() bool { return one.Ready() && two.Ready() })
	revision := uint64(0)
	for i := range 20 {
		var group sync.WaitGroup
		wins := make(chan uint64, 2)
		for operator, k := range []*Keeper{one, two} {
			group.Go(func() {
				accepted, err := put(k, service(t, "s", 1+i), fmt.Sprint(operator, "/", i), revision)
				if err == nil {
					wins <- accepted.Revision
				} else if !errors.Is(err, ErrConflict) {
					t.Errorf("got %v, want a conflict", err)
				}
			})
		}
		group.Wait()
		close(wins)
		if len(wins) != 1 {
			t.Fatalf("got %d writes accepted, want 1", len(wins))
		}
		revision = <-wins
	}
}

func TestAnEntryThatMissedChangesCatchesUp(t *testing.T) {
	r := newRig(t)
	one := r.keeper("entry-1", alone)
	await(t, "ready", one.Ready)
	var told []record.Record
	for i := range 5 {
		accepted, err := put(one, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0)
		if err != nil {
			t.Fatal(err)
		}
		told = append(told, accepted)
	}
	two := r.keeper("entry-2", alone)
	two.Receive(told[4:], 0) // the newest alone must not hide the others
	await(t, "all five records", func() bool { return len(two.Catalog().All()) == 5 && two.Complete() == 5 })
}

func TestAStartFindsWhicheverSourceAnswers(t *testing.T) {
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
			one := r.keeper("entry-1", alone)
			await(t, "ready", one.Ready)
			if _, err := put(one, service(t, "s", 1), "ann/1", 0); err != nil {
				t.Fatal(err)
			}
			await(t, "the snapshot", func() bool { _, head, err := one.readSnapshot(context.Background()); return err == nil && head == 1 })
			for part, text := range s.faults {
				r.fault(part, text)
			}
			two := r.keeper("entry-2", alone)
			if s.peer {
				time.Sleep(100 * time.Millisecond)
				if two.Ready() {
					t.Fatal("got ready without any source, want not")
				}
				two.Receive(one.Above(0))
			}
			await(t, "the record", func() bool { return two.Ready() && two.Complete() == 1 && len(two.Catalog().Services()) == 1 })
		})
	}
}

func TestATableRestoredLateDoesNotRevertAndIsRepaired(t *testing.T) {
	r := newRig(t)
	one := r.keeper("entry-1", alone)
	await(t, "ready", one.Ready)
	for i := range 4 {
		if _, err := put(one, service(t, fmt.Sprint("s", i), 1), fmt.Sprint("ann/", i), 0); err != nil {
			t.Fatal(err)
		}
	}
	// An entry that held more than the table does now: as if the table had been restored from before.
	two := newRig(t).keeper("entry-2", alone)
	await(t, "ready", two.Ready)
	two.Receive(one.Above(0))
	await(t, "the table repaired", func() bool {
		rows, err := two.Table.Get(context.Background(), headKey, recordPrefix+"service/s3")
		return err == nil && parseHead(rows[0]) == 4 && rows[1].Version > 0
	})
	if got := len(two.Catalog().Services()); got != 4 {
		t.Errorf("got %d services in force, want 4", got)
	}
}
