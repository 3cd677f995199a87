package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Seen-Host", r.Host)
	_, _ = fmt.Fprintf(w, "%s %s %q", r.Method, r.URL.RequestURI(), body)
}

func TestAnswersAreForwardedCompletely(t *testing.T) {
	r := newHarness(t, echo)
	scenarios := []struct {
		name         string
		method, path string
		body         string
		fields       []string
		status       int
		want         string
	}{
		{"a lookup", "GET", "/status/7?full=1", "", nil, 200, `GET /status/7?full=1 ""`},
		{"a lookup with a body", "POST", "/status/7", "abc", nil, 200, `POST /status/7 "abc"`},
		{"a head request", "HEAD", "/status/7", "", nil, 200, ""},
		{"a request that must run once", "POST", "/fees/1", "5", []string{"Idempotency-Key", "k"}, 200, `POST /fees/1 "5"`},
		{"a request without a key where the rule allows it", "POST", "/notes", "x", nil, 200, `POST /notes "x"`},
		{"a streamed upload", "PUT", "/builds/1", strings.Repeat("a", 100_000), nil, 200, `PUT /builds/1 "` + strings.Repeat("a", 100_000) + `"`},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := r.send(s.method, s.path, s.body, s.fields...)
			if got.err != nil || got.status != s.status || got.body != s.want {
				t.Errorf("got %d %.80q (%v), want %d %.80q", got.status, got.body, got.err, s.status, s.want)
			}
			if got.header.Get("Poplar-Entry") != "entry-1" || got.header.Get("X-Request-Id") == "" {
				t.Errorf("got entry %q and request id %q, want both set", got.header.Get("Poplar-Entry"), got.header.Get("X-Request-Id"))
			}
		})
	}
}

func TestRefusalsCarryTheirCode(t *testing.T) {
	r := newHarness(t, echo)
	scenarios := []struct {
		name         string
		method, path string
		body         string
		fields       []string
		status       int
		want         string
	}{
		{"no rule", "GET", "/other", "", nil, 404, "1002 not-run"},
		{"headers too large", "GET", "/status", "", []string{"X", strings.Repeat("a", 9<<10)}, 431, "1003 not-run"},
		{"a body too large", "POST", "/status", strings.Repeat("a", 100_001), nil, 413, "1004 not-run"},
		{"a missing key", "POST", "/fees", "", nil, 400, "1006 not-run"},
		{"a key that is too long", "POST", "/fees", "", []string{"Idempotency-Key", strings.Repeat("a", 257)}, 400, "1008 not-run"},
		{"a key with a space", "POST", "/fees", "", []string{"Idempotency-Key", "a b"}, 400, "1008 not-run"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := r.send(s.method, s.path, s.body, s.fields...)
			if got.status != s.status || got.code() != s.want {
				t.Errorf("got %d %s, want %d %s", got.status, got.code(), s.status, s.want)
			}
		})
	}
}

// Sends malformed and ambiguous requests as raw bytes. Guards against request smuggling: the target must get either
// nothing or a request that is framed anew.
func TestMalformedRequests(t *testing.T) {
	bodies := make(chan string, 10)
	r := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		bodies <- fmt.Sprintf("%q %v length %d", body, err, r.ContentLength)
	})
	scenarios := []struct {
		name string
		text string
		want string // status in the head of the answer
		sent string // what the target receives; empty if nothing
	}{
		{"no host", "GET /status HTTP/1.1\r\n\r\n", "400", ""},
		{"two lengths", "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", ""},
		{"an unknown transfer coding", "POST /status HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", "501", ""},
		{"a space before the colon", "GET /status HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", "400", ""},
		{"a length that is not a number", "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", "400", ""},
		{"a CONNECT request", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", "400", ""},
		{
			"both length and chunks, framed anew",
			"POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			"200", `"abc" <nil> length 3`,
		},
		{"chunks that are cut off", "POST /status HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n9\r\nabc", "", ""},
		{"a chunk length that is not a number", "POST /status HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc", "400", ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			head := r.raw(s.text)
			status, _, _ := strings.Cut(head, "\n")
			if s.want != "" && !strings.Contains(status, s.want) {
				t.Errorf("got %q, want %s", status, s.want)
			}
			select {
			case got := <-bodies:
				if got != s.sent {
					t.Errorf("got %s at the target, want %q", got, s.sent)
				}
			default:
				if s.sent != "" {
					t.Errorf("got nothing at the target, want %s", s.sent)
				}
			}
		})
	}
}

func TestHeaderFieldsAreForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	r := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-End", "yes")
	})
	got := r.send("GET", "/status", "", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers", "X-Stay", "2",
		"X-Forwarded-For", "6.6.6.6", "Poplar-Deadline-Ms", "500")
	header := <-seen
	for _, name := range []string{"X-Hop", "Te", "Connection"} {
		if header.Get(name) != "" {
			t.Errorf("got %s %q at the target, want it removed", name, header.Get(name))
		}
	}
	scenarios := []struct{ name, got, want string }{
		{"a field of the caller", header.Get("X-Stay"), "2"},
		{"an untrusted X-Forwarded-For", header.Get("X-Forwarded-For"), "127.0.0.1"},
		{"the scheme", header.Get("X-Forwarded-Proto"), "http"},
		{"the retries so far", header.Get("Poplar-Attempt"), "0"},
		{"a field of the answer", got.header.Get("X-End"), "yes"},
		{"a hop-by-hop field of the answer", got.header.Get("Keep-Alive"), ""},
	}
	for _, s := range scenarios {
		if s.got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, s.got, s.want)
		}
	}
	var remaining int
	if _, err := fmt.Sscan(header.Get("Poplar-Deadline-Ms"), &remaining); err != nil || remaining > 500 || remaining < 100 {
		t.Errorf("got %q ms to the deadline, want just under 500", header.Get("Poplar-Deadline-Ms"))
	}
	if !strings.Contains(header.Get("Forwarded"), "for=127.0.0.1;host=") {
		t.Errorf("got Forwarded %q, want the caller's address", header.Get("Forwarded"))
	}
}

func TestTrailersAreForwardedBothWays(t *testing.T) {
	r := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "Sum")
		_, _ = io.WriteString(w, "body "+r.Trailer.Get("Check"))
		w.Header().Set("Sum", "42")
	})
	for _, path := range []string{"/status", "/builds"} {
		request, _ := http.NewRequestWithContext(t.Context(), "POST", r.url+path, io.NopCloser(strings.NewReader("x")))
		request.Trailer = http.Header{"Check": {"7"}}
		got, err := r.client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(got.Body)
		_ = got.Body.Close()
		if string(body) != "body 7" || got.Trailer.Get("Sum") != "42" {
			t.Errorf("%s: got %q and trailer %q, want %q and %q", path, body, got.Trailer.Get("Sum"), "body 7", "42")
		}
	}
}

// Guards against a streamed request that is buffered to its end before its answer is forwarded.
func TestFullDuplexStreaming(t *testing.T) {
	r := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		buffer := make([]byte, 10)
		for {
			n, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
			if err != nil {
				return
			}
		}
	})
	reader, writer := io.Pipe()
	request, _ := http.NewRequestWithContext(t.Context(), "POST", r.url+"/builds", reader)
	go func() { _, _ = io.WriteString(writer, "one") }()
	got, err := r.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	for _, piece := range []string{"one", "two"} {
		if piece != "one" {
			_, _ = io.WriteString(writer, piece)
		}
		buffer := make([]byte, len(piece))
		if _, err := io.ReadFull(got.Body, buffer); err != nil || string(buffer) != piece {
			t.Fatalf("got %q (%v) while the request was still open, want %q", buffer, err, piece)
		}
	}
	_ = writer.Close()
}

func TestExpectContinueIsAnsweredBeforeBody(t *testing.T) {
	r := newHarness(t, echo)
	request, _ := http.NewRequestWithContext(t.Context(), "POST", r.url+"/status", strings.NewReader("abc"))
	request.Header.Set("Expect", "100-continue")
	r.client.Transport = &http.Transport{ExpectContinueTimeout: 10 * time.Second}
	startedAt := time.Now()
	if got := r.do(request); got.body != `POST /status "abc"` || time.Since(startedAt) > 5*time.Second {
		t.Errorf("got %q after %v, want the echo without delay", got.body, time.Since(startedAt))
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan bool, 1)
	r := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		ended <- true
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, _ := http.NewRequestWithContext(ctx, "GET", r.url+"/status", http.NoBody)
	go r.do(request)
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Error("got no cancellation at the target within 3 s")
	}
}

func TestPassedDeadlineIsReportedAsUnknown(t *testing.T) {
	r := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got := r.send("GET", "/status", "", "Poplar-Deadline-Ms", "100")
	if got.status != 504 || got.code() != "4002 unknown" {
		t.Errorf("got %d %s, want 504 4002 unknown", got.status, got.code())
	}
}
