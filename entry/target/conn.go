package target

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferSize         = 4 << 10  // bytes
	maxInformational   = 32       // informational responses before the final one
	maxLateResponse    = 1 << 20  // bytes; a longer body of a response to an earlier request is not skipped
	maxWriteBeforeRead = 16 << 10 // bytes; such bodies fit into the socket's buffer and are written before reading
	keepAliveMargin    = time.Second
)

// conn is one connection to a target. It counts the bytes written, to prove that a request was not sent.
type conn struct {
	socket           net.Conn
	limitedSocket    *io.LimitedReader
	reader           *bufio.Reader
	written          atomic.Int64
	idleSince        time.Time
	unnamedRefusal   bool          // the target has refused a request here without naming it
	keepAliveTimeout time.Duration // how long the target keeps an idle connection open; zero if unknown
}

func newConn(socket net.Conn) *conn {
	limitedSocket := &io.LimitedReader{R: socket, N: math.MaxInt64}
	return &conn{socket: socket, limitedSocket: limitedSocket, reader: bufio.NewReaderSize(limitedSocket, bufferSize)}
}

// Write counts the bytes before it passes them to the socket, so that the count is never too low.
func (c *conn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.socket.Write(data)
}

// alive reports whether an idle connection is still open and has no unread bytes, which would not belong to any
// request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// exchange sends the request and reads the header of its response. The channel receives the result of writing the
// request.
func (c *conn) exchange(ctx context.Context, r *http.Request, matches responseMatcher) (*http.Response, <-chan error, error) {
	writeDone := make(chan error, 1)
	write := func() {
		buffered := bufio.NewWriterSize(c, bufferSize)
		err := r.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		writeDone <- err
	}
	if r.ContentLength < 0 || r.ContentLength > maxWriteBeforeRead {
		go write()
	} else if write(); len(writeDone) == 1 {
		err := <-writeDone
		writeDone <- err
		if err != nil && ctx.Err() != nil {
			return nil, writeDone, err
		}
	}
	response, err := c.readResponse(r, matches)
	return response, writeDone, err
}

// responseMatcher reports whether a response belongs to the request. A late response belongs to an earlier request.
type responseMatcher func(response *http.Response, r *http.Request) bool

// readResponse skips some informational responses, and one response that belongs to an earlier request.
func (c *conn) readResponse(r *http.Request, matches responseMatcher) (*http.Response, error) {
	skipped := false
	for informational := 0; ; {
		c.limitedSocket.N = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		c.limitedSocket.N = math.MaxInt64
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			if informational++; informational > maxInformational {
				return nil, errors.New("received too many informational responses")
			}
			continue
		}
		if skipped || matches == nil || matches(response, r) {
			c.keepAliveTimeout = keepAlive(response.Header.Get("Keep-Alive"))
			return response, nil
		}
		skipped = true
		size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateResponse))
		if err != nil || response.Close || size == maxLateResponse {
			return nil, errors.New("received the response to an earlier request, and no response can follow it")
		}
	}
}

// keepAlive returns how long the target keeps an idle connection open, less a margin for the time that a request takes
// to reach it.
func keepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return max(keepAliveMargin/2, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return 0
}
