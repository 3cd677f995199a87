package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults describes how the target fails. The zero value is a healthy target.
type Faults struct {
	Shed                 bool          // every request is rejected and not run
	CloseWithoutResponse bool          // every request is run, and its connection closed without a response
	Truncate             bool          // every response is truncated
	Delay                time.Duration // added to the time of each run
}

// CrashPath begins the path of a request that crashes every target that starts to run it. One of CrashModes follows.
const CrashPath = "/crash/"

// CrashModes returns the ways in which a target can crash.
func CrashModes() []string {
	return []string{"close", "half-head", "half-body", "informational", "mute", "linger"}
}

// partialResponses are what a target writes before it crashes, by the way in which it does.
var partialResponses = map[string]string{
	"half-head":     "HTTP/1.1 200 OK\r\nContent-Le",
	"half-body":     "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nContent-Length: 100\r\n\r\npart",
	"informational": "HTTP/1.1 103 Early Hints\r\n\r\n",
}

const lingerTime = 300 * time.Millisecond // for which a lingering target still answers after its crash

// Execution is one run of a request or, in the list of arrivals, its arrival.
type Execution struct {
	ID string
	At time.Time
}

// Target is a simulated target. It runs at most twice as many requests as it has slots and rejects the others. Its
// exported fields must be set before Start.
type Target struct {
	Name              string
	Service           string
	Slots             int
	Work              time.Duration
	Zone              string
	RegisteredAddress string          // address to register; empty for the listen address
	OnCrash           func(mute bool) // called after a request crashed the target; a mute one keeps its connections

	mu        sync.Mutex
	faults    Faults
	leaving   bool
	rateLimit float64 // requests per second that the target names as its limit; zero if it names none
	sequence  uint64
	running   int
	born      time.Time
	runs      []Execution
	arrivals  []Execution // all requests that arrived, including rejected ones
	listener  net.Listener
	server    *http.Server
}

// Start listens on a free loopback port and serves requests.
func (t *Target) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.listener, t.born = listener, time.Now()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }() // returns when the server is closed
	return nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Stop closes the listener and all connections at once.
func (t *Target) Stop() {
	_ = t.server.Close()
}

// SetFaults replaces the faults of the target.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetRateLimit makes the target name a limit of its request rate in every response. Zero ends that.
func (t *Target) SetRateLimit(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateLimit = perSecond
}

// MarkLeaving makes the target announce that it is leaving: its health check fails and its registration says draining.
func (t *Target) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Registration returns the next version of the row by which the target is registered in the store.
func (t *Target) Registration() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	address := t.Address()
	if t.RegisteredAddress != "" {
		address = t.RegisteredAddress
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

// Executions returns all runs of requests so far.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.runs...)
}

// Arrivals returns all requests that arrived so far, including rejected ones.
func (t *Target) Arrivals() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.arrivals...)
}

// ResponseBody returns the response body for the request with the given id.
func ResponseBody(id string) string {
	return "answer to " + id
}

// ServeHTTP answers health checks, rejects requests that name another instance, and runs or sheds all others.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	t.mu.Lock()
	faults, leaving := t.faults, t.leaving
	w.Header().Set("X-Instance-Id", t.Name)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", t.running, t.Slots))
	if t.rateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(t.rateLimit, 'f', -1, 64))
	}
	t.mu.Unlock()
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	switch instance := r.Header.Get("X-Target-Instance"); {
	case r.URL.Path == "/health":
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case instance != "" && instance != t.Name:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !t.begin(id, faults.Shed):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	if mode, ok := strings.CutPrefix(r.URL.Path, CrashPath); ok {
		t.crash(w, r, mode)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a cancelled request is detected below
	select {
	case <-time.After(t.Work + faults.Delay):
	case <-r.Context().Done():
	}
	t.respond(w, id, faults)
}

// crash ends the target in the given way.
func (t *Target) crash(w http.ResponseWriter, r *http.Request, mode string) {
	switch mode {
	case "mute":
		go t.OnCrash(true)
		<-r.Context().Done()
	case "linger":
		time.AfterFunc(lingerTime, func() {
			t.Stop()
			t.OnCrash(false)
		})
		panic(http.ErrAbortHandler)
	default:
		if socket, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(socket, partialResponses[mode])
			_ = socket.Close()
		}
		t.Stop()
		go t.OnCrash(false)
	}
}

func (t *Target) respond(w http.ResponseWriter, id string, faults Faults) {
	if faults.CloseWithoutResponse {
		panic(http.ErrAbortHandler)
	}
	body := ResponseBody(id)
	w.Header().Set("X-Response-Signature", "signed."+t.Name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Truncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // the caller may have closed the connection
}

// begin records the arrival of a request, and its run if the target accepts it. It reports whether the request runs.
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
