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
	readBuffer    = 4 << 10  // bytes
	smallWrite    = 16 << 10 // bytes of a body that are written before the answer is read; a socket's buffer holds them
	keepAliveSlip = time.Second
)

// conn is one connection; bytes written through it are counted, to prove when a request was not sent.
type conn struct {
	socket  net.Conn
	limited *io.LimitedReader
	reader  *bufio.Reader
	written atomic.Int64
	idledAt time.Time
	keepFor time.Duration // how long the target keeps the connection idle; zero if it does not say
}

func newConn(socket net.Conn) *conn {
	limited := &io.LimitedReader{R: socket, N: math.MaxInt64}
	return &conn{socket: socket, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer)}
}

// Write counts the bytes before they are handed to the socket, so that the count is never too low.
func (c *conn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.socket.Write(data)
}

// alive reports whether an idle connection is still open and has no unread bytes, which would belong to no request.
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

// exchange sends the request and reads the header of its answer. The channel gets the result of the writing.
func (c *conn) exchange(ctx context.Context, r *http.Request, owner owner) (*http.Response, <-chan error, error) {
	wrote := make(chan error, 1)
	write := func() {
		buffered := bufio.NewWriterSize(c, readBuffer)
		err := r.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		wrote <- err
	}
	if r.ContentLength < 0 || r.ContentLength > smallWrite {
		go write()
	} else if write(); len(wrote) == 1 {
		err := <-wrote
		wrote <- err
		if err != nil && ctx.Err() != nil {
			return nil, wrote, err
		}
	}
	answer, err := c.readAnswer(r, owner)
	return answer, wrote, err
}

// owner reports whether an answer belongs to the request; one that came late belongs to an earlier request.
type owner func(answer *http.Response, r *http.Request) bool

// readAnswer skips informational answers, and one answer that belongs to an earlier request.
func (c *conn) readAnswer(r *http.Request, owner owner) (*http.Response, error) {
	skipped := false
	for {
		c.limited.N = maxHeaderBytes
		answer, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		c.limited.N = math.MaxInt64
		if answer.StatusCode < http.StatusOK && answer.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if skipped || owner == nil || owner(answer, r) {
			c.keepFor = keepAlive(answer.Header.Get("Keep-Alive"))
			return answer, nil
		}
		skipped = true
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
			return nil, errors.New("an answer to another request, and then none")
		}
	}
}

// keepAlive reads how long the target keeps the connection, less what a request takes to arrive there.
func keepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return max(keepAliveSlip/2, time.Duration(seconds)*time.Second-keepAliveSlip)
		}
	}
	return 0
}
