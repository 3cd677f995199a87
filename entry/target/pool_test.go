package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/entry/common"
)

// serveRaw accepts connections and calls the function for each request that arrives.
func serveRaw(t *testing.T, respond func(socket net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				reader := bufio.NewReader(socket)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					respond(socket)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newPool(matches responseMatcher) *Pool {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Pool{
		Common:         &common.Common{Logger: logger, Metrics: metrics.NewRegistry()},
		MaxConnections: func(netip.AddrPort) int { return 10 },
		MatchesRequest: matches,
	}
}

func matchesID(response *http.Response, r *http.Request) bool {
	return response.Header.Get("Id") == r.Header.Get("Id")
}

// get sends a request with the id, and returns the status and the body of the response.
func get(ctx context.Context, p *Pool, address netip.AddrPort, id string) (int, string, error) {
	exchange, _, err := p.Begin(ctx, address, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address.String(), Path: "/"}, Header: http.Header{"Id": {id}},
	}, false)
	if err != nil {
		return 0, "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange.Response.Body)
	return exchange.Response.StatusCode, string(body), err
}

// Guards against a late response without end that keeps the request that comes after it waiting.
func TestAnEndlessLateResponseIsNotReadToTheDeadline(t *testing.T) {
	address := serveRaw(t, func(socket net.Conn) {
		_, err := io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: earlier\r\nTransfer-Encoding: chunked\r\n\r\n")
		for block := strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 16); err == nil; {
			_, err = io.WriteString(socket, block)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	started := time.Now()
	if status, _, err := get(ctx, newPool(matchesID), address, "a"); err == nil {
		t.Errorf("got status %d, want an error", status)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("got an error after %s, want it as soon as the late response is too long", took)
	}
}

// Guards against a response that ends with its connection, was cut off by a reset, and looks complete, because the write of
// the request that was in progress has received the error in the place of the read.
func TestResponseIsCutOffIfItsRequestIsNotWritten(t *testing.T) {
	scenarios := []struct {
		name  string
		size  int // bytes of the request
		reset bool
		want  error
	}{
		{"a short request, an end", 100, false, nil},
		{"a request that was read, an end", 1 << 20, false, nil},
		{"a request that was not read, a reset", 64 << 20, true, io.ErrUnexpectedEOF},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !s.reset {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				socket, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello")
				time.Sleep(50 * time.Millisecond)
				if s.reset {
					_ = socket.(*net.TCPConn).SetLinger(0)
				}
				_ = socket.Close()
			}))
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			pool := newPool(nil)
			request := &http.Request{
				Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address.String(), Path: "/"}, Host: "h",
				Body: io.NopCloser(io.LimitReader(zeros{}, int64(s.size))), ContentLength: int64(s.size),
			}
			exchange, _, err := pool.Begin(t.Context(), address, request, true)
			if err != nil {
				t.Fatal(err)
			}
			defer exchange.Close()
			time.Sleep(200 * time.Millisecond) // the write fails first
			body, err := io.ReadAll(exchange.Response.Body)
			if string(body) != "hello" || (err == nil) != (s.want == nil) {
				t.Errorf("got %q (%v), want %v", body, err, s.want)
			}
		})
	}
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(into []byte) (int, error) {
	clear(into)
	return len(into), nil
}
