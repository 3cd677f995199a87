package exchange

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// hedged serves requests with a hedge after the given time.
func (h *harness) hedged(after time.Duration) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{Handler: h.handler, w: w, r: r, control: http.NewResponseController(w)}
		defer c.close()
		if refused := c.prepare(); refused != nil {
			c.refuseEarly(*refused)
			return
		}
		d := c.submit()
		c.recordAttempt(d)
		c.respond(c.attemptWithHedge(d, after))
	}))
	h.t.Cleanup(server.Close)
	return server
}

// steps returns a handler that counts its requests and takes the next step for each.
func steps(asked *atomic.Int64, list ...http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if n := int(asked.Add(1)); n <= len(list) {
			list[n-1](w, r)
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// Guards against bytes of two targets in one answer, and against an answer that is cut off but looks complete, because
// a hedge is sent or answers while the first attempt streams its answer.
func TestOneAttemptWritesTheAnswer(t *testing.T) {
	const size = 300_000 // more than is held
	const hedgeAfter = 20 * time.Millisecond
	first, second := strings.Repeat("1", size), strings.Repeat("2", size)
	stall := func(wait time.Duration, part int, text string, fields ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			for i := 0; i < len(fields); i += 2 {
				w.Header().Set(fields[i], fields[i+1])
			}
			var from int
			if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &from); err == nil {
				w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, size-1, size))
				w.Header().Set("Content-Length", fmt.Sprint(size-from))
				w.WriteHeader(http.StatusPartialContent)
				_, _ = io.WriteString(w, text[from:])
				return
			}
			_, _ = io.WriteString(w, text[:part])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(wait)
			_, _ = io.WriteString(w, text[part:])
		}
	}
	late := func(wait time.Duration, next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(wait)
			next(w, r)
		}
	}
	small := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "small") }
	resumable := []string{"ETag", `"v"`, "Accept-Ranges", "bytes", "Content-Length", fmt.Sprint(size)}
	scenarios := []struct {
		name  string
		steps []http.HandlerFunc
		want  string
		asked int64
	}{
		{"the first one has begun and can be resumed", []http.HandlerFunc{stall(3*hedgeAfter, size/2, first, resumable...), stall(0, size, second, resumable...)}, first, 1},
		{"the first one has begun, in chunks", []http.HandlerFunc{stall(3*hedgeAfter, size/2, first), stall(0, size, second)}, first, 1},
		{"the first one begins after the hedge, which has a short answer", []http.HandlerFunc{late(2*hedgeAfter, stall(6*hedgeAfter, size/2, first)), late(3*hedgeAfter, small)}, first, 2},
		{"the hedge begins before the first one", []http.HandlerFunc{late(4*hedgeAfter, stall(0, size, first)), stall(6*hedgeAfter, size/2, second)}, second, 2},
		{"both stream at once", []http.HandlerFunc{late(3*hedgeAfter, stall(2*hedgeAfter, size/2, first, resumable...)), late(3*hedgeAfter, stall(2*hedgeAfter, size/2, second, resumable...))}, "", 2},
		{"the hedge is complete first", []http.HandlerFunc{late(6*hedgeAfter, stall(0, size, first)), small}, "small", 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var asked atomic.Int64
			handle := steps(&asked, s.steps...)
			h := newHarness(t, handle, handle)
			h.url = h.hedged(hedgeAfter).URL
			got := h.send("GET", "/status/1", "")
			isWanted := got.body == s.want || s.want == "" && (got.body == first || got.body == second)
			if got.err != nil || got.status != http.StatusOK || !isWanted {
				t.Errorf("got %d with %d bytes, %d of them of the first target (%v), want the whole answer of one",
					got.status, len(got.body), strings.Count(got.body, "1"), got.err)
			}
			if got := asked.Load(); got != s.asked {
				t.Errorf("got %d requests to targets, want %d", got, s.asked)
			}
		})
	}
}
