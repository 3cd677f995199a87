package conformance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is an answer as the client received it.
type reply struct {
	status   int
	code     string // of a refusal by an entry
	answer   string // field that the target sets
	body     []byte
	err      error // nil if the answer came to its proper end
	surplus  []byte
	closed   bool // the answer announces that the connection will be closed
	writeErr error
}

// client sends exchanges over one connection, as long as that stays open.
type client struct {
	address string

	socket net.Conn
	reader *bufio.Reader
}

func (c *client) connect(ctx context.Context) error {
	if c.socket != nil {
		return nil
	}
	socket, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.socket, c.reader = socket, bufio.NewReader(socket)
	return nil
}

func (c *client) close() {
	if c.socket != nil {
		_ = c.socket.Close()
		c.socket = nil
	}
}

// send plays the client's part of an exchange.
func (c *client) send(ctx context.Context, id string, x exchange, salt int) reply {
	if err := c.connect(ctx); err != nil {
		return reply{err: err}
	}
	_ = c.socket.SetDeadline(time.Now().Add(exchangeLimit))
	written := make(chan error, 1)
	socket := c.socket
	go func() {
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nX-Request-Id: %s\r\n", x.method, x.path, idHeader, id, id)
		written <- x.request.write(socket, head, x.request.body(salt), x.request.size, true)
	}()
	got := c.receive(x)
	if got.err != nil || got.closed {
		c.close()
		got.writeErr = <-written
		return got
	}
	if got.writeErr = <-written; got.writeErr != nil {
		c.close()
	}
	return got
}

// readFinalHeader reads a header, and skips informational responses before it.
func (c *client) readFinalHeader(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		_ = response.Body.Close()
	}
}

func (c *client) receive(x exchange) reply {
	response, err := c.readFinalHeader(x.method)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := reply{status: response.StatusCode, code: response.Header.Get("Poplar-Code"), answer: response.Header.Get("Answer"), closed: response.Close}
	got.body, got.err = io.ReadAll(response.Body)
	if n := c.reader.Buffered(); n > 0 {
		got.surplus, _ = c.reader.Peek(n)
	}
	return got
}
