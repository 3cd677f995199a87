package crashes

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
)

// fleet is some keepers that tell each other of crashes.
func fleet(count int, gone func(target string) bool) []*Keeper {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	keepers := make([]*Keeper, count)
	for i := range keepers {
		keepers[i] = &Keeper{Common: &common.Common{Logger: logger, Metrics: metrics.NewRegistry()}, Threshold: 3, Gone: gone}
		keepers[i].Start()
		keepers[i].Tell = func(fingerprint quarantine.Fingerprint, target string) {
			for j, k := range keepers {
				if j != i {
					k.Heard(fingerprint, target)
				}
			}
		}
	}
	return keepers
}

// Replays a request that comes again at another entry each time: no entry sees more than one of its crashes.
func TestARequestIsRefusedEverywhereAfterCrashesSeenAtDifferentEntries(t *testing.T) {
	scenarios := []struct {
		name string
		gone func(target string) bool
		want bool
	}{
		{"its targets are gone", func(string) bool { return true }, true},
		{"its targets live, their answers were lost", func(string) bool { return false }, false},
		{"broken connections are taken for crashes", nil, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var looks sync.WaitGroup
			gone := s.gone
			if gone != nil {
				looks.Add(3)
				gone = func(target string) bool {
					defer looks.Done()
					return s.gone(target)
				}
			}
			keepers := fleet(5, gone)
			for i, target := range []string{"a", "b", "c"} {
				keepers[i].Crash(quarantine.Fingerprint{1}, target)
			}
			looks.Wait()
			for i, k := range keepers {
				got := false
				for end := time.Now().Add(200 * time.Millisecond); got != s.want && time.Now().Before(end); time.Sleep(time.Millisecond) {
					_, got = k.Blocked(time.Now(), quarantine.Fingerprint{1})
				}
				if got != s.want {
					t.Errorf("entry %d: got refused %t, want %t", i, got, s.want)
				}
			}
		})
	}
}
