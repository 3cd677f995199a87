package crashrecords

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/crashrecord"
	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
)

// fakeStore fails a number of calls before it serves the others.
type fakeStore struct {
	mu       sync.Mutex
	failures int
	records  []crashrecord.Record
	removed  int
}

func (f *fakeStore) fail() error {
	if f.failures--; f.failures >= 0 {
		return errors.New("unavailable")
	}
	return nil
}

func (f *fakeStore) PutCrashes(_ context.Context, records []crashrecord.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail(); err != nil {
		return err
	}
	f.records = append(f.records, records...)
	return nil
}

func (f *fakeStore) Crashes(context.Context) ([]crashrecord.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records, f.fail()
}

func (f *fakeStore) RemoveCrashes(_ context.Context, records []crashrecord.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed += len(records)
	return nil
}

// newRecorder returns a recorder that runs, and the channel of the targets whose crashes it has read.
func newRecorder(t *testing.T, f *fakeStore) (*Recorder, chan string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	read := make(chan string, 10)
	r := &Recorder{
		Common: &common.Common{Logger: logger, Metrics: metrics.NewRegistry()}, Store: f,
		OnCrash: func(_ quarantine.Fingerprint, target string, _ time.Time) bool {
			read <- target
			return true
		},
	}
	r.Start()
	go r.Run(t.Context())
	return r, read
}

// Guards against a crashing request that is sent on after all entries were killed, since none remembers it.
func TestCrashesOutlastTheFleet(t *testing.T) {
	for _, failures := range []int{0, 1} {
		f := &fakeStore{}
		first, _ := newRecorder(t, f)
		f.mu.Lock()
		f.failures = failures
		f.mu.Unlock()
		first.Save([]crashrecord.Record{{Target: "a", At: time.Now()}})
		for end := time.Now().Add(3 * time.Second); first.Counter("crashes.stored").Count() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		f.mu.Lock()
		f.failures = failures
		f.mu.Unlock()
		_, read := newRecorder(t, f)
		select {
		case got := <-read:
			if got != "a" {
				t.Errorf("got a crash of %s, want one of a", got)
			}
		case <-time.After(3 * time.Second):
			t.Errorf("got no crash after %d failures of the store, want one of a", failures)
		}
	}
}

func TestOldCrashesAreRemoved(t *testing.T) {
	f := &fakeStore{records: []crashrecord.Record{{Target: "old", At: time.Now().Add(-2 * maxAge)}, {Target: "new", At: time.Now()}}}
	_, read := newRecorder(t, f)
	if got := <-read; got != "new" {
		t.Errorf("got a crash of %s, want one of the new target alone", got)
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		removed := f.removed
		f.mu.Unlock()
		if removed == 1 {
			return
		}
	}
	t.Error("got the old crash kept, want it removed")
}

// Guards against a quarantine that nobody remembers after the store was restored from a copy that lacks its crashes.
func TestCrashesAreStoredAgainAfterARestore(t *testing.T) {
	f := &fakeStore{}
	first, _ := newRecorder(t, f)
	first.Save([]crashrecord.Record{{Target: "expired", Fingerprint: quarantine.Fingerprint{1}, At: time.Now().Add(-2 * maxAge)}})
	first.Save([]crashrecord.Record{{Target: "a", Fingerprint: quarantine.Fingerprint{2}, At: time.Now()}})
	awaitRecords(t, f, 2)
	f.mu.Lock()
	f.records = nil
	f.mu.Unlock()
	first.StoreRestored()
	awaitRecords(t, f, 1)
	second, read := newRecorder(t, f)
	if got := <-read; got != "a" {
		t.Errorf("got a crash of %s, want one of a alone", got)
	}
	time.Sleep(10 * time.Millisecond) // until the second has kept what it has read
	first.StoreRestored()
	time.Sleep(50 * time.Millisecond)
	awaitRecords(t, f, 1)
	f.mu.Lock()
	f.records = nil
	f.mu.Unlock()
	second.StoreRestored()
	awaitRecords(t, f, 1)
}

func awaitRecords(t *testing.T, f *fakeStore, want int) {
	t.Helper()
	got := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		got = len(f.records)
		f.mu.Unlock()
		if got == want {
			return
		}
	}
	t.Fatalf("got %d records, want %d", got, want)
}
