package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is a server of a service. It writes its answers byte by byte to the connection, so that a case can make it
// answer late or twice.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Serve runs a request whose head has been read, and answers it. It returns false to close the connection.
	Serve func(s *Server, c *Conn, r *http.Request) bool
	// Health answers a health check; nil answers 200.
	Health func(s *Server, c *Conn)

	mu       sync.Mutex
	listener net.Listener
	running  int
	leaving  bool
	sequence int
	born     time.Time
	slowdown int
	runs     map[string]int
	conns    map[net.Conn]bool
}

// Conn is a connection from an entry.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	mu     sync.Mutex
}

// Send writes the text in one call.
func (c *Conn) Send(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

// Start listens on a free loopback port.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.born, s.runs, s.conns, s.slowdown = listener, time.Now(), map[string]int{}, map[net.Conn]bool{}, 100
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(socket)
		}
	}()
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(socket net.Conn) {
	s.mu.Lock()
	s.conns[socket] = true
	s.mu.Unlock()
	defer func() {
		_ = socket.Close()
		s.mu.Lock()
		delete(s.conns, socket)
		s.mu.Unlock()
	}()
	c := &Conn{Conn: socket, Reader: bufio.NewReader(socket)}
	for {
		r, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		instance := r.Header.Get("X-Target-Instance")
		switch {
		case r.URL.Path == "/health":
			if s.Health != nil {
				s.Health(s, c)
			} else {
				_ = c.Send("HTTP/1.1 200 OK\r\n" + s.Head() + "Content-Length: 0\r\n\r\n")
			}
		case instance != "" && instance != s.ID:
			_, _ = io.Copy(io.Discard, r.Body)
			_ = c.Send("HTTP/1.1 421 Misdirected Request\r\n" + s.Head() + named(r) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			if !s.Serve(s, c, r) {
				return
			}
		}
	}
}

// Head returns the header lines that stand in every answer.
func (s *Server) Head() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Instance-Id: %s\r\nX-Server-Load: %d,0,%d,%d\r\n", s.ID, s.running, s.Slots, s.slowdown)
}

func named(r *http.Request) string {
	return "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
}

// Answer returns the head of a successful answer with the signature.
func (s *Server) Answer(r *http.Request, length int) string {
	return "HTTP/1.1 200 OK\r\n" + s.Head() + named(r) + "X-Response-Signature: signed." + s.ID + "\r\n" + fmt.Sprintf("Content-Length: %d\r\n", length)
}

// Begin counts the run of a request, and reports whether a slot is free.
func (s *Server) Begin(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		return false
	}
	s.running++
	s.runs[r.Header.Get("X-Request-Id")]++
	return true
}

// End ends the run of a request.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Reject answers that the request has not run.
func (s *Server) Reject(c *Conn, r *http.Request) {
	_ = c.Send("HTTP/1.1 503 Service Unavailable\r\n" + s.Head() + named(r) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// Runs returns how often a request has run here.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// SetSlowdown sets the factor, in per cent, by which work takes longer.
func (s *Server) SetSlowdown(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = percent
}

// Slowdown returns the factor, in per cent, by which work takes longer at this moment.
func (s *Server) Slowdown() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.slowdown)
}

// Leave makes the server say that it leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Leaving reports whether the server says that it leaves.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Registration returns the server's row in the store.
func (s *Server) Registration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"configVersion":"v1","capacity":%d,"state":%q,"warmupLeftMs":0,"sequence":%d,"born":%d}`,
		s.Service, s.listener.Addr().String(), s.Zone, s.Slots, state, s.sequence, s.born.UnixMilli())
}

// ReadAll reads the rest of a request's body.
func ReadAll(r *http.Request) string {
	var b strings.Builder
	_, _ = io.Copy(&b, r.Body)
	return b.String()
}
