package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults is how the target misbehaves; the zero value is a healthy target.
type Faults struct {
	Shed  bool // every request is rejected without being run
	Reset bool // every request is run, and its answer lost
	Cut   bool // every answer ends early
	Slow  time.Duration
}

// CrashPath is the path of a request that crashes each target that begins to run it.
const CrashPath = "/status/crash"

// Execution is one run of a request.
type Execution struct {
	ID string
	At time.Time
}

// Target serves requests with a number of slots; its exported fields are set before Start.
type Target struct {
	Name    string
	Service string
	Slots   int
	Work    time.Duration
	Zone    string
	Reached string // address to register, if that is not the target's own
	Crashed func() // called when a request has crashed the target

	mu       sync.Mutex
	faults   Faults
	leaving  bool
	sequence uint64
	running  int
	born     time.Time
	runs     []Execution
	arrivals []Execution // requests that came, those included that were rejected
	listener net.Listener
	server   *http.Server
}

// Start listens on a port of its own.
func (t *Target) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.listener, t.born = listener, time.Now()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }() // ends when the server is closed
	return nil
}

// Address returns where the target listens.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Stop ends the target at once.
func (t *Target) Stop() {
	_ = t.server.Close()
}

// Break sets how the target misbehaves from now on.
func (t *Target) Break(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Leave makes the target say that it is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Registration returns the row that the target writes to the store.
func (t *Target) Registration() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	address := t.Address()
	if t.Reached != "" {
		address = t.Reached
	}
	state := "ready"
	if t.leaving {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": t.Service, "address": address, "zone": t.Zone, "configVersion": "v1", "capacity": t.Slots,
		"state": state, "warmupLeftMs": 0, "sequence": t.sequence, "born": t.born.UnixMilli(),
	})
	if err != nil {
		return nil
	}
	return data
}

// Runs returns all runs so far.
func (t *Target) Runs() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.runs...)
}

// Arrivals returns all requests that came so far, those included that were rejected.
func (t *Target) Arrivals() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.arrivals...)
}

// Body is the answer to a request.
func Body(id string) string {
	return "answer to " + id
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	t.mu.Lock()
	faults, leaving := t.faults, t.leaving
	w.Header().Set("X-Instance-Id", t.Name)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", t.running, t.Slots))
	t.mu.Unlock()
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	switch want := r.Header.Get("X-Target-Instance"); {
	case r.URL.Path == "/health":
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case want != "" && want != t.Name:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !t.begin(id, faults.Shed):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	if r.URL.Path == CrashPath {
		t.Stop()
		go t.Crashed()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body) // a caller that has left is seen below
	select {
	case <-time.After(t.Work + faults.Slow):
	case <-r.Context().Done():
	}
	t.reply(w, id, faults)
}

func (t *Target) reply(w http.ResponseWriter, id string, faults Faults) {
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	body := Body(id)
	w.Header().Set("X-Response-Signature", "signed."+t.Name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Cut {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // a caller that has left needs no answer
}

// begin reports whether the request runs.
func (t *Target) begin(id string, shed bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	arrival := Execution{ID: id, At: time.Now()}
	t.arrivals = append(t.arrivals, arrival)
	if shed || t.running >= 2*t.Slots {
		return false
	}
	t.running++
	t.runs = append(t.runs, arrival)
	return true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
