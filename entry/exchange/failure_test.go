package exchange

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poplarworks/core/answer"
	"poplarworks/core/claim"
	"poplarworks/core/code"
	"poplarworks/entry/claims"
)

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shed(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// truncate announces a longer body than it sends, and then breaks the connection.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("part"))
	panic(http.ErrAbortHandler)
}

func counted(count *atomic.Int64, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handle(w, r)
	}
}

// Guards against a failed attempt that is repeated although the target may have run it, and against one that is not
// repeated although that is safe.
func TestRetryAfterTargetFault(t *testing.T) {
	key := []string{"Idempotency-Key", "k"}
	scenarios := []struct {
		name    string
		first   http.HandlerFunc // the handler of the faulty target; the other target is healthy
		method  string
		path    string
		fields  []string
		status  int
		code    string
		atMost  int64 // limit of runs at both targets together
		healthy int64 // runs at the healthy target
	}{
		{"a lookup whose connection breaks is retried", abort, "GET", "/status", nil, 200, " ", 2, 1},
		{"a lookup with a truncated answer is retried", truncate, "GET", "/status", nil, 200, " ", 2, 1},
		{"a lookup that was shed is retried", shed, "GET", "/status", nil, 200, " ", 2, 1},
		{"a fee whose connection breaks is not retried", abort, "POST", "/fees", key, 502, "4001 unknown", 1, 0},
		{"a fee with a truncated answer is not retried", truncate, "POST", "/fees", key, 502, "4001 unknown", 1, 0},
		{"a fee that was shed is retried", shed, "POST", "/fees", key, 200, " ", 2, 1},
		{"a note without a key whose connection breaks is not retried", abort, "POST", "/notes", nil, 502, "4001 unknown", 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			// The target is picked at random, so this repeats until the faulty one was picked.
			for range 40 {
				var faulty, healthy atomic.Int64
				r := newHarness(t, counted(&faulty, s.first), counted(&healthy, echo))
				got := r.send(s.method, s.path, "", s.fields...)
				if faulty.Load() == 0 {
					continue
				}
				if got.status != s.status || got.code() != s.code {
					t.Errorf("got %d %s, want %d %s", got.status, got.code(), s.status, s.code)
				}
				if runs := faulty.Load() + healthy.Load(); runs > s.atMost || healthy.Load() != s.healthy {
					t.Errorf("got %d runs, %d at the healthy target, want at most %d and %d", runs, healthy.Load(), s.atMost, s.healthy)
				}
				return
			}
			t.Fatal("the faulty target was never picked")
		})
	}
}

func TestAllTargetsFail(t *testing.T) {
	scenarios := []struct {
		name   string
		handle http.HandlerFunc
		method string
		path   string
		want   string
	}{
		{"every target sheds a lookup", shed, "GET", "/status", "4003 not-run"},
		{"every target sheds a fee", shed, "POST", "/fees", "4003 not-run"},
		{"every target breaks the connection of a lookup", abort, "GET", "/status", "4001 unknown"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newHarness(t, s.handle, s.handle)
			if got := r.send(s.method, s.path, "", "Idempotency-Key", "k"); got.code() != s.want {
				t.Errorf("got %s, want %s", got.code(), s.want)
			}
		})
	}
}

// A refusal by an entry downstream, which has retried already, must not be retried: attempts would multiply per layer.
func TestRefusalFromDownstreamIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	r := newHarness(t, counted(&runs, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Poplar-Code", "4001")
		w.Header().Set("Poplar-Run", "unknown")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	got := r.send("GET", "/status", "")
	if runs.Load() != 1 || got.code() != "4001 unknown" {
		t.Errorf("got %d runs and %s, want 1 and the downstream entry's answer", runs.Load(), got.code())
	}
}

func TestUpstreamRetriesCountTowardsLimit(t *testing.T) {
	var runs atomic.Int64
	r := newHarness(t, counted(&runs, shed), counted(&runs, shed), counted(&runs, shed), counted(&runs, shed))
	r.send("GET", "/status/1", "")
	if got := runs.Load(); got != 3 {
		t.Errorf("got %d attempts, want 3", got)
	}
	runs.Store(0)
	r.send("GET", "/status/2", "", "Poplar-Attempt", "2")
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d attempts after two upstream retries, want 1", got)
	}
}

// Guards against a request that crashes its target being sent to one target after another until none is left.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	var runs atomic.Int64
	crashing := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status/poison" {
			runs.Add(1)
			abort(w, r)
		}
		echo(w, r)
	}
	r := newHarness(t, crashing, crashing, crashing, crashing)
	var last reply
	for range 10 {
		last = r.send("GET", "/status/poison", "")
	}
	if got := runs.Load(); got > 2 {
		t.Errorf("got %d crashes, want at most 2", got)
	}
	if last.code() != "2005 not-run" {
		t.Errorf("got %s for the last request, want 2005 not-run", last.code())
	}
	for i := range 20 {
		if got := r.send("GET", "/status/"+strconv.Itoa(i), ""); got.status != 200 {
			t.Fatalf("got %d for a harmless request, want 200", got.status)
		}
	}
}

// build serves a file with support for ranges. If breakAfter is positive, it breaks the connection after that many
// bytes.
func build(size int, breakAfter int, etag string) http.HandlerFunc {
	content := strings.Repeat("0123456789", size/10)
	return func(w http.ResponseWriter, r *http.Request) {
		if etag != "" {
			w.Header().Set("ETag", etag)
		}
		if breakAfter > 0 {
			w = &breakingWriter{ResponseWriter: w, left: breakAfter}
		}
		http.ServeContent(w, r, "", time.Time{}, strings.NewReader(content))
	}
}

type breakingWriter struct {
	http.ResponseWriter

	left int
}

func (b *breakingWriter) Write(data []byte) (int, error) {
	if len(data) > b.left {
		_, _ = b.ResponseWriter.Write(data[:b.left])
		_ = http.NewResponseController(b.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	b.left -= len(data)
	return b.ResponseWriter.Write(data)
}

// Guards against a resumed download that mixes two versions of a file, and a truncated one that looks complete.
func TestInterruptedDownloads(t *testing.T) {
	const size = 1_000_000
	scenarios := []struct {
		name     string
		etags    [2]string // of the breaking and the healthy target
		complete bool
	}{
		{"the same strong entity tag: resumed", [2]string{`"v1"`, `"v1"`}, true},
		{"another entity tag: connection broken", [2]string{`"v1"`, `"v2"`}, false},
		{"a weak entity tag: connection broken", [2]string{`W/"v1"`, `W/"v1"`}, false},
		{"no entity tag: connection broken", [2]string{"", ""}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for range 40 {
				var broken, healthy atomic.Int64
				r := newHarness(t, counted(&broken, build(size, 300_000, s.etags[0])), counted(&healthy, build(size, 0, s.etags[1])))
				got := r.send("GET", "/builds/1", "")
				if broken.Load() == 0 {
					continue
				}
				want := strings.Repeat("0123456789", size/10)
				complete := got.err == nil && got.body == want
				if complete != s.complete {
					t.Errorf("got complete %t (%d bytes, %v), want %t", complete, len(got.body), got.err, s.complete)
				}
				if !complete && got.err == nil {
					t.Error("got a truncated body that looks complete, want the connection broken")
				}
				return
			}
			t.Fatal("the breaking target was never picked")
		})
	}
}

func TestClaims(t *testing.T) {
	stored := &answer.Answer{Status: 201, Fields: []answer.Field{{Name: "X-Fee", Value: "7"}}, Body: []byte("paid")}
	scenarios := []struct {
		name   string
		result claims.Result
		status int
		want   string
		runs   int64
	}{
		{"an earlier answer is replayed", claims.Result{Answer: stored}, 201, " ", 0},
		{"an earlier send may have run", claims.Result{Code: code.EarlierUnknown, Execution: code.Unknown}, 409, "3003 unknown", 0},
		{"the store is down", claims.Result{Code: code.StoreUnavailable, Execution: code.NotRun}, 503, "3001 not-run", 0},
		{"the key belongs to another request", claims.Result{Code: code.KeyReused, Execution: code.NotRun}, 422, "1007 not-run", 0},
		{"the claim is granted", claims.Result{}, 200, " ", 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var runs atomic.Int64
			r := newHarness(t, counted(&runs, echo))
			r.claims.result = s.result
			got := r.send("POST", "/fees", "5", "Idempotency-Key", "k")
			if got.status != s.status || got.code() != s.want || runs.Load() != s.runs {
				t.Errorf("got %d %s and %d runs, want %d %s and %d", got.status, got.code(), runs.Load(), s.status, s.want, s.runs)
			}
			if s.result.Answer != nil && (got.body != "paid" || got.header.Get("X-Fee") != "7" || got.header.Get("Poplar-Replayed") != "true") {
				t.Errorf("got %q %v, want the stored answer", got.body, got.header)
			}
		})
	}
}

// The stage in which a claim is settled must follow from what the attempt proves: a stage that allows another send
// after the target may have run the request would run it twice.
func TestClaimStageAfterAttempt(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 300_000)) }
	scenarios := []struct {
		name   string
		handle http.HandlerFunc
		stage  claim.Stage
		stored bool
	}{
		{"an answer", echo, claim.Answered, true},
		{"an error status from the target", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, claim.Answered, true},
		{"an answer too large to store", large, claim.Answered, false},
		{"a refusal by the target", shed, claim.Held, false},
		{"a broken connection", abort, claim.Uncertain, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newHarness(t, s.handle)
			r.send("POST", "/fees", "5", "Idempotency-Key", "k")
			if len(r.claims.settled) != 1 {
				t.Fatalf("got %d claims settled, want 1", len(r.claims.settled))
			}
			if got := r.claims.settled[0].Stage(); got != s.stage {
				t.Errorf("got stage %s, want %s", got, s.stage)
			}
			if got := r.claims.stored[0] != nil; got != s.stored {
				t.Errorf("got an answer stored %t, want %t", got, s.stored)
			}
		})
	}
}

// A request that is refused before it claims its key may repeat one that has run. Its refusal must not say not-run
// unless the lookup of the claim proved it.
func TestRefusalBeforeClaimReportsLookup(t *testing.T) {
	scenarios := []struct {
		name   string
		lookup claims.Result
		want   string
	}{
		{"no earlier send", claims.Result{Execution: code.NotRun}, "2002 not-run"},
		{"the store does not answer", claims.Result{Execution: code.Unknown}, "2002 unknown"},
		{"an earlier send is unknown", claims.Result{Code: code.EarlierUnknown, Execution: code.Unknown}, "3003 unknown"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newHarness(t, echo)
			r.claims.lookup = s.lookup
			got := r.send("POST", "/fees", "5", "Idempotency-Key", "k", "Poplar-Deadline-Ms", "1")
			if got.code() != s.want {
				t.Errorf("got %s, want %s", got.code(), s.want)
			}
		})
	}
}

// Guards against an answer that arrives after its request's deadline being taken for that of the next request.
func TestLateAnswersNeverReachAnotherRequest(t *testing.T) {
	r := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/status/slow") {
			time.Sleep(150 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	var group sync.WaitGroup
	defer group.Wait()
	for i := range 50 {
		slow, fast := fmt.Sprintf("/status/slow%d", i), fmt.Sprintf("/status/fast%d", i)
		late, err := http.NewRequestWithContext(t.Context(), "GET", r.url+slow, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		late.Header.Set("Poplar-Deadline-Ms", "50")
		group.Go(func() { r.do(late) })
		if got := r.send("GET", fast, ""); got.status == 200 && got.body != fast {
			t.Fatalf("got %q, want %q", got.body, fast)
		}
	}
}
