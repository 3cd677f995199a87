package exchange

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errBodyClosed = errors.New("the request has ended before its body")

// pastDeadline is a deadline that makes a read in progress fail at once.
var pastDeadline = time.Unix(1, 0)

// streamedBody reads a body while it is sent on. It resets the read deadline to the body timeout before each read.
type streamedBody struct {
	call *call
	from io.Reader

	ended  atomic.Bool // whether all of the body was read
	closed atomic.Bool
}

// Read reads the next part of the body.
func (s *streamedBody) Read(into []byte) (int, error) {
	_ = s.call.control.SetReadDeadline(s.call.Now().Add(s.call.Settings.BodyTimeout))
	if s.closed.Load() {
		_ = s.call.control.SetReadDeadline(pastDeadline)
		return 0, errBodyClosed
	}
	n, err := s.from.Read(into)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	if err != nil && !s.closed.Load() {
		_ = s.call.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// close ends a read in progress, unless the body has ended. An attempt that was given up may still be reading, and net/http
// waits for it before it ends the exchange.
func (s *streamedBody) close() {
	s.closed.Store(true)
	if !s.ended.Load() {
		_ = s.call.control.SetReadDeadline(pastDeadline)
	}
}

// announceClose tells the caller that the connection will be closed if the answer begins before the body was read, which
// would stand where the next request is due.
func (c *call) announceClose(header http.Header) {
	if c.body != nil && c.body.rest != nil && !c.body.rest.ended.Load() && c.r.ProtoMajor == 1 {
		header.Set("Connection", "close")
	}
}
