package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poplarworks/measure/plan"
)

const smallSocket = 4 << 10 // bytes; of the test's own sockets, so that they hold next to nothing

// endlessTargets answer each request with a head and a body that does not end.
type endlessTargets struct {
	written atomic.Int64 // bytes of bodies
}

// start starts one more target and returns its address.
func (e *endlessTargets) start(t *testing.T) net.Addr {
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
			go e.serve(socket)
		}
	}()
	return listener.Addr()
}

func (e *endlessTargets) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	_ = socket.(*net.TCPConn).SetWriteBuffer(smallSocket)
	request, err := http.ReadRequest(bufio.NewReader(socket))
	if err != nil {
		return
	}
	framing := "Content-Length: 1000000000000"
	switch request.URL.Query().Get("framing") {
	case "close":
		framing = "Connection: close"
	case "chunks":
		framing = "Transfer-Encoding: chunked"
	}
	_, err = io.WriteString(socket, "HTTP/1.1 200 OK\r\n"+framing+"\r\n\r\n")
	for block := []byte("1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"); err == nil; {
		var n int
		n, err = socket.Write(block)
		e.written.Add(int64(n))
	}
}

// Guards against an entry whose memory, the kernel's for its sockets included, grows with the callers that read a long
// answer slowly, and against other callers that are not served because of them.
func TestSlowReadersOfEndlessAnswersAreBounded(t *testing.T) {
	const (
		targets     = 60
		readers     = 480
		maxHeld     = (64 + 64) << 20 // bytes; the defaults of max-transfer-bytes and max-buffered-bytes
		maxResident = 256_000_000     // bytes; docs/CAPACITY.md
	)
	scenarios := []struct {
		name string
		path string
	}{
		{"a length", "/endless?framing=length"},
		{"the end of the connection", "/endless?framing=close"},
		{"chunks", "/endless?framing=chunks"},
		{"answers of the short class", "/short?framing=length"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := start(t, plan.Plan{Entries: 1})
			endless := &endlessTargets{}
			var list []string
			for i := range targets {
				list = append(list, fmt.Sprintf(`{"name": "e%d", "address": %q}`, i, endless.start(t)))
			}
			d.put(
				fmt.Sprintf(`{"schema": 2, "kind": "service", "name": "endless", "targets": [%s], "capacity": {"slots": 100}}`, strings.Join(list, ", ")),
				`{"schema": 2, "kind": "rule", "name": "endless", "service": "endless", "match": {"path-prefix": "/endless"},
					"idempotent": true, "class": "long", "deadline": "1m"}`,
				`{"schema": 2, "kind": "rule", "name": "short", "service": "endless", "match": {"path-prefix": "/short"},
					"idempotent": true, "deadline": "1m"}`)
			d.inForce(9)
			var served, refused atomic.Int64
			readWithoutEnd(t, d.Entries[0].CallerURL, s.path, readers, &served, &refused)
			d.await("answers to all readers", func() bool { return served.Load()+refused.Load() == readers })
			for before := int64(-1); before != endless.written.Load(); time.Sleep(500 * time.Millisecond) {
				before = endless.written.Load()
			}
			if got := endless.written.Load(); got > maxHeld {
				t.Errorf("got %d bytes held for %d readers, want at most %d", got, served.Load(), maxHeld)
			}
			if got := d.Entries[0].Process().Memory(); got > maxResident {
				t.Errorf("got %d bytes of resident memory, want at most %d", got, maxResident)
			}
			if served.Load() == 0 {
				t.Error("got no reader served")
			}
			for range 20 {
				if got := d.send(0, "GET", "/status/1", ""); got.status != http.StatusOK && !strings.HasPrefix(s.path, "/short") {
					t.Fatalf("got %d %s for another caller, want it served", got.status, got.code())
				}
			}
		})
	}
}

// readWithoutEnd opens connections that each send a request and read nothing but the head of its answer, until the test
// ends.
func readWithoutEnd(t *testing.T, url, path string, readers int, served, refused *atomic.Int64) {
	t.Helper()
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for range readers {
		group.Go(func() {
			socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				return
			}
			defer func() { _ = socket.Close() }()
			_ = socket.(*net.TCPConn).SetReadBuffer(smallSocket)
			_, _ = io.WriteString(socket, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			status, _ := bufio.NewReaderSize(socket, 16).ReadString('\n')
			switch {
			case strings.Contains(status, " 200 "):
				served.Add(1)
			case strings.Contains(status, " 503 "):
				refused.Add(1)
			}
			<-ctx.Done()
		})
	}
}
