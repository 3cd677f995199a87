package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"poplarworks/entry/common"
	"poplarworks/entry/settings"
)

// startServer returns the address of a server with the handler.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := &Server{Common: &common.Common{
		Settings: settings.Settings{
			CallerAddress: netip.MustParseAddrPort("127.0.0.1:0"), MaxConnections: 100, MaxHeaderBytes: 4 << 10,
			HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
		},
		Metrics: metrics.NewRegistry(),
	}, Handler: handler}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.http.Close() })
	return s.limiter.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	socket, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetDeadline(time.Now().Add(5 * time.Second))
	return socket
}

// Guards against bytes of an entry within the body of an answer: a write that begins like a refusal by net/http can be a
// part of a body.
func TestBodiesThatLookLikeRefusalsAreUnchanged(t *testing.T) {
	const lines = "HTTP/1.1 400 Bad Request\r\nHTTP/1.1 431 Request Header Fields Too Large\r\nHTTP/1.1 404 Not Found\n"
	scenarios := []struct {
		name    string
		repeats int
		piece   int // bytes in each write of the handler
		length  bool
		flush   bool
	}{
		{"in one piece", 60, 1 << 20, true, false},
		{"in one piece, in chunks", 60, 1 << 20, false, false},
		{"long, in one piece", 150, 1 << 20, true, false},
		{"long, in one piece, in chunks", 150, 1 << 20, false, false},
		{"long, in pieces", 150, 1500, true, false},
		{"long, in pieces, in chunks", 150, 1500, false, false},
		{"a write for each set of lines", 20, len(lines), true, true},
		{"a chunk for each set of lines", 20, len(lines), false, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var body string
			address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if s.length {
					w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				}
				for rest := body; rest != ""; {
					n := min(s.piece, len(rest))
					_, _ = io.WriteString(w, rest[:n])
					if rest = rest[n:]; s.flush {
						_ = http.NewResponseController(w).Flush()
					}
				}
			})
			socket := dial(t, address)
			reader := bufio.NewReader(socket)
			for shift := range len(lines) {
				body = strings.Repeat(lines, s.repeats)[shift:]
				got := exchange(t, socket, reader, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if got.body != body {
					t.Fatalf("lines moved by %d bytes: got %d bytes, want the %d of the handler unchanged", shift, len(got.body), len(body))
				}
			}
		})
	}
}

type reply struct {
	status int
	code   string
	body   string
}

// exchange writes the text and reads one answer.
func exchange(t *testing.T, socket net.Conn, reader *bufio.Reader, text string) reply {
	t.Helper()
	if _, err := io.WriteString(socket, text); err != nil {
		t.Fatal(err)
	}
	return readReply(t, reader)
}

func readReply(t *testing.T, reader *bufio.Reader) reply {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatalf("read the body of a %d after %d bytes: %v", answer.StatusCode, len(body), err)
	}
	return reply{status: answer.StatusCode, code: answer.Header.Get("Poplar-Code") + " " + answer.Header.Get("Poplar-Run"), body: string(body)}
}

// Guards against refusals by net/http without a code, wherever on a connection they stand, and against their loss to a
// reset because the connection was closed with unread bytes.
func TestRefusalsByNetHTTPCarryTheirCode(t *testing.T) {
	const sound = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	refusals := []struct {
		name   string
		text   string
		status int
		want   string
	}{
		{"no request", "hello, is this the entry?\r\n\r\n", 400, "1001 not-run"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, "1001 not-run"},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 20_000) + "\r\n\r\n", 431, "1003 not-run"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, "1001 not-run"},
		{"unknown expectation", "GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417, "1001 not-run"},
		{"unknown transfer coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 501, "1001 not-run"},
		{"unknown version", "GET / HTTP/3.0\r\nHost: h\r\n\r\n", 505, "1001 not-run"},
	}
	earlier := []struct {
		name string
		text string
	}{
		{"first", ""},
		{"after an answer", sound},
		{"after two answers", sound + sound},
		{"after a body that was not read", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789"},
		{"after a body in chunks that was not read", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"after an expectation", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"},
	}
	body := strings.Repeat("HTTP/1.1 400 Bad Request\r\n", 400)
	for _, e := range earlier {
		for _, r := range refusals {
			t.Run(r.name+", "+e.name, func(t *testing.T) {
				address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
				socket := dial(t, address)
				go func() { _, _ = io.WriteString(socket, e.text+r.text) }()
				reader := bufio.NewReader(socket)
				for range strings.Count(e.text, "HTTP/1.1") {
					if got := readReply(t, reader); got.status != http.StatusOK || got.body != body {
						t.Fatalf("got %d with %d bytes, want the answer to the earlier request", got.status, len(got.body))
					}
				}
				if got := readReply(t, reader); got.status != r.status || got.code != r.want {
					t.Errorf("got %d %s, want %d %s", got.status, got.code, r.status, r.want)
				}
				if rest, _ := io.ReadAll(reader); len(rest) > 0 {
					t.Errorf("got %q after the refusal, want nothing", rest)
				}
			})
		}
	}
}

// Guards against a refusal, or a code, within an answer that has begun when the rest of its request turns out malformed.
func TestMalformedBodyAfterTheAnswerHasBegun(t *testing.T) {
	const body = "HTTP/1.1 400 Bad Request\r\n"
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		_, _ = io.WriteString(w, body)
		_ = control.Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, body)
	})
	socket := dial(t, address)
	reader := bufio.NewReader(socket)
	got := exchange(t, socket, reader, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nno size\r\n")
	if got.status != http.StatusOK || got.body != body+body || got.code != " " {
		t.Errorf("got %d %q code %q, want the handler's answer unchanged", got.status, got.body, got.code)
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("got %q after the answer, want nothing", rest)
	}
}

// Guards against a code within the frames of HTTP/2, however its preface arrives.
func TestHTTP2WithoutTLSIsUnchanged(t *testing.T) {
	body := strings.Repeat("HTTP/1.1 400 Bad Request\r\n", 4000)
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &byteWriter{Conn: socket}, err
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	for range 20 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || string(got) != body || answer.ProtoMajor != 2 {
			t.Fatalf("got %d bytes over HTTP/%d (%v), want the %d of the handler over HTTP/2", len(got), answer.ProtoMajor, err, len(body))
		}
	}
}

// byteWriter writes its first bytes one by one, with pauses.
type byteWriter struct {
	net.Conn
	written int
}

func (b *byteWriter) Write(data []byte) (int, error) {
	for i := range data {
		if b.written > len(http2Preface) {
			n, err := b.Conn.Write(data[i:])
			return i + n, err
		}
		b.written++
		if _, err := b.Conn.Write(data[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(time.Millisecond)
	}
	return len(data), nil
}
