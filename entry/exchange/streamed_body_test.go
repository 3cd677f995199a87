package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poplarworks/entry/buffers"
)

// upload is what a target saw of an upload.
type upload struct {
	body []byte
	err  error
}

// Guards against an upload that loses bytes because its answer begins before its end: a target must get the body as it
// was sent, or see that it is cut off. The caller must be told if the connection can't be used again.
func TestAnswersThatBeginBeforeTheBodyEnds(t *testing.T) {
	const earlyAfter = 1_200_000 // bytes; more than is held
	content := make([]byte, 3_000_000)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	scenarios := []struct {
		name     string
		path     string
		chunked  bool
		early    int  // bytes that the target reads before it answers
		answer   int  // bytes
		readsOn  bool // the target reads the rest of the body while it answers
		noMemory bool // no buffer memory is free for the answer
	}{
		{"in chunks, a long answer", "/convert", true, earlyAfter, 2_000_000, true, false},
		{"with a length, a long answer", "/convert", false, earlyAfter, 2_000_000, true, false},
		{"in chunks, a long class", "/builds", true, earlyAfter, 2_000_000, true, false},
		{"in chunks, a short answer", "/convert", true, earlyAfter, 100, true, false},
		{"in chunks, a short answer without memory", "/convert", true, earlyAfter, 20_000, true, true},
		{"in chunks, an answer that ends the exchange", "/convert", true, earlyAfter, 100, false, false},
		{"with a length, an answer that ends the exchange", "/convert", false, earlyAfter, 100, false, false},
		{"in chunks, a long answer that ends the exchange", "/convert", true, earlyAfter, 2_000_000, false, false},
		{"in chunks, an answer after the body", "/convert", true, len(content), 100, true, false},
		{"with a length, a long answer after the body", "/convert", false, len(content), 2_000_000, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			uploads := make(chan upload, 1)
			h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					return
				}
				control := http.NewResponseController(w)
				_ = control.EnableFullDuplex()
				body := &bytes.Buffer{}
				_, err := io.CopyN(body, r.Body, int64(s.early))
				w.Header().Set("Content-Length", fmt.Sprint(s.answer))
				_, _ = w.Write(content[:s.answer/2])
				_ = control.Flush()
				if s.readsOn && err == nil {
					_, err = io.Copy(body, r.Body)
				}
				_, _ = w.Write(content[s.answer/2 : s.answer])
				uploads <- upload{body: body.Bytes(), err: err}
			})
			if s.noMemory {
				h.handler.BufferQuota = &buffers.Quota{Max: 1_400_000}
			}
			h.uploadTwice(s.path, content, s.chunked, content[:s.answer])
			got := <-uploads
			if s.readsOn && got.err == nil && !bytes.Equal(got.body, content) {
				t.Errorf("got a body of %d bytes that ends properly, want the %d that were sent", len(got.body), len(content))
			}
		})
	}
}

// uploadTwice uploads the content, checks the answer, and sends another request on the connection unless the answer says that
// it will be closed.
func (h *harness) uploadTwice(path string, content []byte, chunked bool, want []byte) {
	h.t.Helper()
	socket, err := (&net.Dialer{}).DialContext(h.t.Context(), "tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(10 * time.Second))
	written := make(chan error, 1)
	go func() {
		request, _ := http.NewRequestWithContext(h.t.Context(), http.MethodPost, h.url+path, &slowReader{content: content})
		if request.ContentLength = int64(len(content)); chunked {
			request.ContentLength = -1
		}
		written <- request.Write(socket)
	}()
	reader := bufio.NewReader(socket)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if answer.StatusCode != http.StatusOK || err != nil || !bytes.Equal(body, want) {
		h.t.Fatalf("got %d with %d bytes (%v), want 200 with the %d of the target", answer.StatusCode, len(body), err, len(want))
	}
	if answer.Close {
		_ = socket.Close()
		return // the rest of the upload fails
	}
	if err := <-written; err != nil {
		h.t.Fatalf("got %v while the upload was written to a connection that stays open", err)
	}
	_, _ = io.WriteString(socket, "GET /status/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	if next, err := http.ReadResponse(reader, nil); err != nil || next.StatusCode != http.StatusOK {
		h.t.Errorf("got %v (%v) for the next request on the connection, want its answer", next, err)
	}
}

// slowReader returns its content in small parts with pauses, at about 10 MB/s.
type slowReader struct {
	content []byte
}

func (s *slowReader) Read(into []byte) (int, error) {
	if len(s.content) == 0 {
		return 0, io.EOF
	}
	time.Sleep(2 * time.Millisecond)
	n := copy(into, s.content[:min(len(s.content), 20_000)])
	s.content = s.content[n:]
	return n, nil
}
