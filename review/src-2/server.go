package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	expiry     = 3 * heartbeat // of a registration without a heartbeat
	healthPath = "/health"
)

// run is one request that has reached a server.
type run struct {
	id, server, service, entry string // entry is the machine that took the request from the client
	at                         time.Time
	ran                        bool // and not turned away
}

// server is one server of the users: it runs requests, queues a few, sheds the rest and registers itself in the store.
type server struct {
	w           *world
	id, service string
	zone        string
	ip          string
	slots       int
	work        time.Duration
	tellsLoad   bool
	crashes     func(r *http.Request, body []byte) bool // whether the request crashes the server
	crashAfter  time.Duration                           // from the begin of its run until the crash
	answerBytes int                                     // length of its answers; zero for short ones

	mu       sync.Mutex
	running  int
	leaving  bool
	dead     bool
	sequence int
	born     time.Time
	address  string
	http     *http.Server
	conns    map[net.Conn]bool
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return err
	}
	s.address, s.born, s.conns = listener.Addr().String(), time.Now(), map[net.Conn]bool{}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = s.http.Serve(listener) }()
	s.w.store.put("servers", s.id, s.registration())
	s.w.logf("server %s of %s starts at %s", s.id, s.service, s.address)
	go s.beat()
	return nil
}

func (s *server) beat() {
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		dead := s.dead
		s.mu.Unlock()
		if dead || s.w.over() {
			return
		}
		if !s.w.store.reachable() {
			continue
		}
		s.w.store.renew("servers", s.id, s.registration())
	}
}

func (s *store) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down
}

func (s *server) registration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "configVersion": "v1", "capacity": s.slots, "state": state,
		"warmupLeftMs": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	return text
}

// leave reports the planned shutdown to the store, which accepts it, and says so in all answers from now on.
func (s *server) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.w.store.put("servers", s.id, s.registration())
	s.w.logf("server %s reports that it leaves; the store has accepted it", s.id)
}

// exit ends the server: its row is removed, and what is at work is cut.
func (s *server) exit() {
	s.kill()
	s.w.store.remove("servers", s.id)
	s.w.logf("server %s exits", s.id)
}

// kill ends the server as a crash does: the listener and all connections are closed.
func (s *server) kill() bool {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return false
	}
	s.dead = true
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	_ = s.http.Close()
	for c := range conns {
		_ = c.Close()
	}
	return true
}

// crash ends the server without a word. It is back after some seconds, with a new id; its old row expires.
func (s *server) crash(id string) {
	if !s.kill() {
		return
	}
	s.w.mu.Lock()
	s.w.crashes = append(s.w.crashes, run{id: id, server: s.id, service: s.service, at: time.Now()})
	s.w.mu.Unlock()
	s.w.logf("server %s crashes, running request %s", s.id, id)
	time.AfterFunc(expiry, func() { s.w.store.remove("servers", s.id) })
	time.AfterFunc(3*time.Second, func() {
		if !s.w.over() {
			s.w.addServer(&server{service: s.service, zone: s.zone, slots: s.slots, work: s.work, tellsLoad: s.tellsLoad, crashes: s.crashes, crashAfter: s.crashAfter})
		}
	})
}

// ServeHTTP answers health checks, and runs, queues or turns away requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	s.mu.Lock()
	leaving, dead := s.leaving, s.dead
	if s.tellsLoad {
		h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", min(s.running, s.slots), max(0, s.running-s.slots), s.slots))
	}
	s.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == healthPath {
		h.Set("X-Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if instance := r.Header.Get("X-Target-Instance"); instance != "" && instance != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	if !s.take() {
		s.w.reached(run{id: id, server: s.id, service: s.service, at: at})
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.done()
	body, err := io.ReadAll(r.Body)
	s.w.reached(run{id: id, server: s.id, service: s.service, at: at, ran: true})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.crashes != nil && s.crashes(r, body) {
		time.Sleep(s.crashAfter) // the run goes on when the connection closes
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	dead = s.dead
	s.mu.Unlock()
	if dead {
		s.w.logf("server %s is cut off while it runs request %s", s.id, id)
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(id)
	if s.answerBytes > 0 {
		answer = strings.Repeat("d", s.answerBytes)
	}
	h.Set("X-Response-Signature", "signed."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
	if s.answerBytes > 0 {
		s.w.logf("server %s has answered %s in full", s.id, id)
	}
}

func answerTo(id string) string { return strings.Repeat("answer to "+id+"\n", 4) }

// take gives the request a slot or a place in the short queue.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= 3*s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// runsOf returns the runs that match, in the order of their times.
func (w *world) runsOf(match func(run) bool) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []run
	for _, r := range w.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b run) int { return a.at.Compare(b.at) })
	return found
}
