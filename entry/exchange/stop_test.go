package exchange

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"poplarworks/entry/relay"
)

// Guards against a request that is passed on after the entry has begun to refuse requests, so that it is cut off at the end.
func TestARequestThatWasTakenBeforeAStopIsNotPassedOnTooLate(t *testing.T) {
	for _, s := range []struct{ method, path string }{{http.MethodPost, "/notes/1"}, {http.MethodPost, "/status/1"}} {
		t.Run(s.path, func(t *testing.T) {
			var runs atomic.Int64
			var stopping atomic.Bool
			h := newHarness(t, counted(&runs, echo))
			h.handler.IsStopping = stopping.Load
			body, upload := io.Pipe()
			request, err := http.NewRequestWithContext(t.Context(), s.method, h.url+s.path, body)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = upload.Write([]byte("first"))
				time.Sleep(50 * time.Millisecond)
				stopping.Store(true)
				_, _ = upload.Write([]byte("last"))
				_ = upload.Close()
			}()
			got := h.do(request)
			if got.status != http.StatusServiceUnavailable || got.code() != "2006 not-run" {
				t.Errorf("got %d, code %q, want a refusal that says not run", got.status, got.code())
			}
			if got := runs.Load(); got != 0 {
				t.Errorf("got %d runs, want none", got)
			}
		})
	}
}

// Guards against a request that may not be repeated and is cut off without an answer when the entry ends.
func TestTargetsAreToldToAnswerBeforeTheEntryEnds(t *testing.T) {
	scenarios := []struct {
		name     string
		answerIn time.Duration // zero if the entry does not stop
		most     time.Duration
		least    time.Duration
	}{
		{"no stop", 0, 2 * time.Second, 1900 * time.Millisecond},
		{"a stop before the deadline", 700 * time.Millisecond, 700 * time.Millisecond, 600 * time.Millisecond},
		{"a stop after the deadline", 5 * time.Second, 2 * time.Second, 1900 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			told := make(chan time.Duration, 1)
			h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				ms, _ := strconv.Atoi(r.Header.Get(relay.DeadlineHeader))
				told <- time.Duration(ms) * time.Millisecond
				echo(w, r)
			})
			if s.answerIn > 0 {
				answerBy := time.Now().Add(s.answerIn)
				h.handler.AnswerBy = func() time.Time { return answerBy }
			}
			if got := h.send(http.MethodPost, "/notes/1", "x"); got.status != http.StatusOK {
				t.Fatalf("got %d, want 200", got.status)
			}
			if got := <-told; got > s.most || got < s.least {
				t.Errorf("got a deadline of %s, want %s to %s", got, s.least, s.most)
			}
		})
	}
}
