package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/rule"
	"poplarworks/entry/buffers"
)

// Guards against memory of an answer that no quota counts while its caller reads slowly, and against a caller that is cut
// off though it reads all the time.
func TestSlowReaderOfACompleteAnswer(t *testing.T) {
	const size, pieces = 400_000, 20
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "400000")
		_, _ = io.WriteString(w, strings.Repeat("a", size))
	})
	socket, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	_ = socket.(*net.TCPConn).SetReadBuffer(16 << 10)
	if _, err := io.WriteString(socket, "GET /reports/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(socket, 1<<10), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if got := h.handler.BufferQuota.Reserved(); got < size {
		t.Errorf("got %d bytes reserved, want the %d of the answer", got, size)
	}
	// Longer than the write timeout of a second.
	for piece := range pieces {
		if _, err := io.CopyN(io.Discard, answer.Body, size/pieces); err != nil {
			t.Fatalf("got %v in piece %d, want the whole answer", err, piece)
		}
		time.Sleep(2 * time.Second / pieces)
	}
	for end := time.Now().Add(time.Second); h.handler.InFlight() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if buffered, transfers := h.handler.BufferQuota.Reserved(), h.handler.TransferQuota.Reserved(); buffered != 0 || transfers != 0 {
		t.Errorf("got %d bytes reserved for buffers and %d for transfers after the answer, want none", buffered, transfers)
	}
}

// Guards against a refusal for want of memory that is not proven to be "not run", or that long answers cause for others.
func TestRequestsBeyondTheTransferQuotaAreRefused(t *testing.T) {
	scenarios := []struct {
		name   string
		method string
		path   string
		free   int64 // bytes of the quota
		want   int
	}{
		{"a lookup", "GET", "/status/1", transferBytes, http.StatusOK},
		{"a lookup without memory", "GET", "/status/1", transferBytes - 1, http.StatusServiceUnavailable},
		{"a long request without the headroom", "GET", "/builds/1", 2 * transferBytes, http.StatusServiceUnavailable},
		{"a long request", "GET", "/builds/1", 4 * transferBytes, http.StatusOK},
		{"a fee without memory", "POST", "/fees/1", 0, http.StatusServiceUnavailable},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			runs := 0
			h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
				runs++
				_, _ = io.WriteString(w, "ok")
			})
			quota := &buffers.Quota{Max: 10 * transferBytes}
			quota.Reserve(quota.Max - s.free)
			h.handler.TransferQuota = quota
			got := h.send(s.method, s.path, "", "Idempotency-Key", "k")
			if got.status != s.want {
				t.Fatalf("got %d %s, want %d", got.status, got.code(), s.want)
			}
			if s.want == http.StatusOK {
				return
			}
			if got.code() != "2001 not-run" || got.header.Get("Retry-After") == "" || runs > 0 {
				t.Errorf("got %s, Retry-After %q and %d runs, want a refusal of 2001 and none", got.code(), got.header.Get("Retry-After"), runs)
			}
		})
	}
}

// Guards against a hedge beyond the quota.
func TestTransferReservationsAddUp(t *testing.T) {
	c := &call{Handler: newHarness(t, echo).handler, body: &body{}}
	c.TransferQuota = &buffers.Quota{Max: 3*transferBytes + 1}
	for n := range 2 {
		if got := c.reserveTransfer(); !got || c.transferReserved != int64(n+1)*transferBytes {
			t.Errorf("got %t and %d bytes reserved, want those of a request and its hedge", got, c.transferReserved)
		}
	}
	c.body.rest = &streamedBody{}
	if c.reserveTransfer() {
		t.Error("got a reservation for both directions, want none beyond the quota")
	}
	c.rule.Class = rule.Long
	if res, refused := c.refusesDispatch(nil); refused {
		t.Errorf("got %d, want no second look at a request with a reservation", res.code)
	}
	c.transferReserved = 0
	if res, refused := c.refusesDispatch(nil); !refused || res.code != code.Overloaded {
		t.Errorf("got %d, want %d", res.code, code.Overloaded)
	}
}
