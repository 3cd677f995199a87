package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

const (
	heartbeat    = 1500 * time.Millisecond
	startTimeout = 20 * time.Second
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Zones returns the zones of the deployment.
func Zones() []string {
	return []string{"zone-a", "zone-b", "zone-c"}
}

// Entry is a process of the project.
type Entry struct {
	Name, Front, Ready string
	command            *exec.Cmd
	log                *os.File
	ended              chan struct{}
}

// World is a small deployment: the store, servers and entries.
type World struct {
	Store   *Store
	Entries []*Entry

	startMu sync.Mutex // held while a process starts, so that none starts after Stop
	mu      sync.Mutex
	dir     string
	record  *os.File
	servers []*Server
	started time.Time
	http    *http.Server
	stopped bool
}

// New opens the record in the folder of the case and starts the store.
func New(caseDir string) *World {
	w := &World{Store: &Store{}, started: time.Now()}
	var err error
	if w.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		w.fail(err)
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		w.fail(err)
	}
	w.Log("trouble=%t", Trouble())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		w.fail(fmt.Errorf("stopped by the signal %v", <-interrupted))
	}()
	return w
}

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if w.record != nil {
		w.Log("could not run: %s", err)
	}
	w.Stop()
	os.Exit(CannotRun)
}

// AddServer starts a server and keeps it registered until it is removed.
func (w *World) AddServer(s *Server) *Server {
	if err := s.Start(); err != nil {
		w.fail(err)
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.Store.Put("servers", s.ID, s.Registration())
	return s
}

// Servers returns all servers that were ever started.
func (w *World) Servers() []*Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Server(nil), w.servers...)
}

// Drain makes the server report that it leaves. Its row is removed and it ends after a little more than drainMs.
func (w *World) Drain(s *Server) {
	s.Leave()
	w.Store.Put("servers", s.ID, s.Registration())
	time.AfterFunc(3*time.Second, func() {
		w.Store.Put("servers", s.ID, nil)
		time.AfterFunc(3*time.Second, s.Stop)
	})
}

// Configure writes the operator's configuration.
func (w *World) Configure(text string) {
	w.Store.Put("op", "config", []byte(text))
}

// StartEntries starts the store's listener and one entry for each zone, and waits until all are ready.
func (w *World) StartEntries(count int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail(err)
	}
	w.http = &http.Server{Handler: w.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.http.Serve(listener) }()
	for i := range count {
		w.startEntry(i, listener.Addr().String())
	}
	end := time.Now().Add(startTimeout)
	for _, e := range w.Entries {
		for !e.isReady() {
			if time.Now().After(end) {
				w.fail(fmt.Errorf("%s did not get ready; its log is %s", e.Name, e.log.Name()))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // the entries read the list of all entries
	w.Log("%d entries are ready", count)
}

func (e *Entry) isReady() bool {
	response, err := http.Get("http://" + e.Ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freeAddress returns an address with a free port. The network is derived from the process id, so that cases that run at
// the same time don't take each other's ports.
func freeAddress(host int) (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8&63, pid&255, host))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startEntry starts one entry with the settings that deploy/settings.tmpl gives for a machine of a small deployment.
func (w *World) startEntry(i int, store string) {
	var addresses [4]string
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(10 + i); err != nil {
			w.fail(err)
		}
	}
	e := &Entry{Name: fmt.Sprintf("edge-%d", i+1), Front: addresses[0], Ready: addresses[1], ended: make(chan struct{})}
	settings := fmt.Sprintf(`{
  "name": %q, "data-centre": %q,
  "callers": { "address": %q, "max-connections": 3000, "max-buffered-bytes": 33554432 },
  "health-address": %q, "peer-address": %q, "new-fleet": true, "metrics-address": %q, "store-address": %q,
  "leave-within": "2000ms", "apply-within": "2000ms", "grace": "6s", "extra-ratio": 0.2, "extra-slack": 56,
  "probes-per-second": 60, "bandwidth-mbit": 1000.0, "memory-mib": 284
}
`, e.Name, Zones()[i%3], e.Front, e.Ready, addresses[2], addresses[3], store)
	file := filepath.Join(w.dir, e.Name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		w.fail(err)
	}
	var err error
	if e.log, err = os.Create(filepath.Join(w.dir, e.Name+".log")); err != nil {
		w.fail(err)
	}
	e.command = exec.Command("target/poplar-platform", "--settings", file)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := w.start(e); err != nil {
		w.fail(err)
	}
	go func() {
		err := e.command.Wait()
		w.Log("%s has ended: %v", e.Name, err)
		close(e.ended)
	}()
}

// start starts the process of the entry, unless the case has been stopped.
func (w *World) start(e *Entry) error {
	w.startMu.Lock()
	defer w.startMu.Unlock()
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return errors.New("the case has been stopped")
	}
	if err := e.command.Start(); err != nil {
		return err
	}
	w.Entries = append(w.Entries, e)
	return nil
}

// Ended reports whether the process of the entry has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the entry.
func (e *Entry) Signal(s syscall.Signal) {
	_ = e.command.Process.Signal(s)
}

// LogText returns what the entry has written.
func (e *Entry) LogText() string {
	text, _ := os.ReadFile(e.log.Name())
	return string(text)
}

// Stop ends all processes and servers.
func (w *World) Stop() {
	w.mu.Lock()
	stopped := w.stopped
	w.stopped = true
	w.mu.Unlock()
	if stopped {
		return
	}
	w.startMu.Lock()
	defer w.startMu.Unlock()
	for _, e := range w.Entries {
		if !e.Ended() {
			_ = e.command.Process.Kill()
			<-e.ended
		}
	}
	for _, s := range w.Servers() {
		s.Stop()
	}
	if w.http != nil {
		_ = w.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// Finish ends everything and exits with the verdict.
func (w *World) Finish(violations int, summary string) {
	w.Log("%s", summary)
	fmt.Println(summary)
	w.Stop()
	if violations > 0 {
		os.Exit(Broken)
	}
	os.Exit(Held)
}

// RecordRequest writes a line on what was sent, what was answered and where it ran.
func (w *World) RecordRequest(what string, r Result) {
	answered := fmt.Sprintf("answered %d with %d bytes", r.Status, len(r.Body))
	if r.Err != nil {
		answered = fmt.Sprintf("no whole answer (status %d): %v", r.Status, r.Err)
	}
	w.Log("sent %s %s to %s; %s; ran at [%s]", r.ID, what, r.Entry, answered, strings.Join(w.RanAt(r.ID), " "))
}

// RanAt returns the servers that have run the request, each as often as it has.
func (w *World) RanAt(id string) []string {
	var at []string
	for _, s := range w.Servers() {
		for range s.Runs(id) {
			at = append(at, s.ID)
		}
	}
	return at
}

// Result is what a client saw of one request.
type Result struct {
	ID, Entry string
	Status    int
	Header    http.Header
	Body      []byte
	Err       error
}

// Client sends requests over kept connections.
type Client struct {
	HTTP *http.Client
}

// NewClient returns a client that keeps its connections and doesn't retry.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Send sends one request and reads the whole answer.
func (c *Client) Send(e *Entry, method, host, path, id string, deadline time.Duration, body []byte) Result {
	r, err := http.NewRequest(method, "http://"+e.Front+path, bytes.NewReader(body))
	if err != nil {
		return Result{ID: id, Err: err}
	}
	r.Host = host
	r.GetBody = nil
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	result := Result{ID: id, Entry: e.Name}
	response, err := c.HTTP.Do(r)
	if err != nil {
		result.Err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status, result.Header = response.StatusCode, response.Header
	result.Body, result.Err = io.ReadAll(response.Body)
	return result
}
