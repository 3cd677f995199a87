package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	downloadBytes = 540_000
	readRate      = 120_000 // bytes a second of a caller on a slow link
	readStep      = 50 * time.Millisecond
	slowDeadline  = 5 * time.Second
	slowReaders   = 12
	receiveBuffer = 4 << 10
	sendAfter     = 2500 * time.Millisecond // after the SIGTERM, on connections that are open since before it
)

// slowReader: callers on slow links read downloads that their servers have answered in full long ago, while the machine
// is stopped.
func slowReader(w *world) bool {
	for i := range 3 {
		w.addServer(&server{service: "vault", zone: fmt.Sprintf("zone-%d", i), slots: 6, work: 80 * time.Millisecond, tellsLoad: true, answerBytes: downloadBytes})
	}
	w.store.put("op", "config", configuration(5, []string{"vault"}, route{name: "downloads", prefix: "/builds/", kind: "download", service: "vault", maxAttempts: 2}))
	e := w.newEntry("edge-zone-0", "zone-0", true)
	e.awaitReady()
	time.Sleep(stableTime + time.Second)
	var callers []*slowCaller
	for range slowReaders {
		c := &slowCaller{w: w, entry: e}
		c.connect()
		if !c.download(newID("warm"), false) {
			w.fail(fmt.Errorf("a download before the stop failed"))
		}
		callers = append(callers, c)
	}
	if w.trouble {
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(sendAfter)
	var group sync.WaitGroup
	var cut atomic.Int64
	for _, c := range callers {
		group.Go(func() {
			if !c.download(newID("build"), true) {
				cut.Add(1)
			}
		})
	}
	group.Wait()
	w.logf("LOST: of %d downloads that a server had answered in full, %d ended without a complete answer before their deadline", slowReaders, cut.Load())
	return cut.Load() > 0
}

// slowCaller keeps one connection to an entry.
type slowCaller struct {
	w      *world
	entry  *entry
	socket net.Conn
	reader *bufio.Reader
}

func (c *slowCaller) connect() {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	socket, err := dialer.Dial("tcp", c.entry.front)
	if err != nil {
		c.w.fail(err)
	}
	c.socket, c.reader = socket, bufio.NewReaderSize(socket, 4<<10)
}

// download requests a download and reads it, on request as a slow link delivers it. It reports whether the answer was complete.
func (c *slowCaller) download(id string, slowly bool) bool {
	w, sent := c.w, time.Now()
	w.mu.Lock()
	w.sentVia[id] = c.entry.name
	w.mu.Unlock()
	_ = c.socket.SetDeadline(sent.Add(slowDeadline))
	_, _ = fmt.Fprintf(c.socket, "GET /builds/7 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Remaining: %d\r\n\r\n", id, slowDeadline.Milliseconds())
	w.logf("client sends %s via %s", id, c.entry.name)
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		w.logf("client's %s: no answer after %.3f s: %v", id, time.Since(sent).Seconds(), err)
		return false
	}
	total, step := int64(0), int64(readRate)*int64(readStep)/int64(time.Second)
	for begin, n := time.Now(), 1; ; n++ {
		read, err := io.CopyN(io.Discard, answer.Body, step)
		total += read
		if err == io.EOF {
			w.logf("client's %s: %d, all %d bytes after %.3f s", id, answer.StatusCode, total, time.Since(sent).Seconds())
			return answer.StatusCode == http.StatusOK && total == downloadBytes
		}
		if err != nil {
			w.logf("client's %s: %d, cut after %d of %d bytes and %.3f s: %v", id, answer.StatusCode, total, downloadBytes, time.Since(sent).Seconds(), err)
			return false
		}
		if slowly {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * readStep)))
		}
	}
}
