package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/standin/backend"
)

const (
	callTimeout        = 3 * time.Second
	crashInterval      = 300 * time.Millisecond // between two requests that crash their targets
	callerAddresses    = 3
	impatience         = 200 * time.Millisecond // of callers that leave before an answer can come
	pollInterval       = 50 * time.Millisecond  // between two requests on the route that was added last
	undisturbedCrashID = "crash-calm"           // prefix of request ids for undisturbed entries
)

// outcome is the result of one request. The status is zero when there was no complete response.
type outcome struct {
	id      string
	entry   int
	payment bool
	status  int
	body    string
	signed  bool
	started time.Time
	at      time.Time
}

// send sends one request, and returns the status and the body of the response. The body is followed by a bar and the
// response's signature, which may be empty. The status is zero when there was no complete response.
func send(client *http.Client, address netip.AddrPort, method, path, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := io.Reader(http.NoBody)
	if method == http.MethodPost {
		body = strings.NewReader("amount=1")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return 0, ""
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Remaining", "2000")
	got, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	if err != nil {
		return 0, ""
	}
	return got.StatusCode, string(data) + "|" + got.Header.Get("X-Response-Signature")
}

// callers send requests until the context ends, and record the results.
type callers struct {
	env *Environment

	recovering atomic.Bool // whether all faults have ended

	mu         sync.Mutex
	outcomes   []outcome
	violations []string // of the rules about configurations, found while the run goes on
}

// run sends lookups and payments to random entries.
func (c *callers) run(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id, payment := fmt.Sprintf("%s-%d", name, n), random.IntN(3) == 0
		method, path := http.MethodGet, "/status/"+id
		if payment {
			method, path = http.MethodPost, "/fees/"+id
		}
		entry, started := random.IntN(len(c.env.CallerLinks)), time.Now()
		status, text := send(client, c.env.CallerLinks[entry].From, method, path, id)
		body, signature, _ := strings.Cut(text, "|")
		c.mu.Lock()
		c.outcomes = append(c.outcomes, outcome{
			id: id, entry: entry, payment: payment, status: status, body: body, signed: signature != "", started: started, at: time.Now(),
		})
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
}

// crashRequest is a request that crashes each target that runs it, and the way in which it is repeated.
type crashRequest struct {
	mode      string        // one of backend.CrashModes
	addresses int           // number of addresses of its caller
	patience  time.Duration // after which the caller leaves
	calmOnly  bool          // whether it is sent to undisturbed entries only
}

func newCrashRequest(random *rand.Rand) crashRequest {
	modes := backend.CrashModes()
	return crashRequest{
		mode: modes[random.IntN(len(modes))], addresses: 1 + random.IntN(callerAddresses),
		patience: []time.Duration{callTimeout, impatience}[random.IntN(2)], calmOnly: random.IntN(2) == 0,
	}
}

// sendCrashRequests repeats one request, which crashes each target that runs it, to random entries.
func (c *callers) sendCrashRequests(ctx context.Context, random *rand.Rand, name string, request crashRequest) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(crashInterval)
		entry, kind := random.IntN(len(c.env.CallerLinks)), "crash-disturbed"
		if c.env.undisturbed(entry, refusalTimeout) {
			kind = undisturbedCrashID
		} else if request.calmOnly {
			continue
		}
		if c.recovering.Load() && c.env.crashesSoFar() < crashThreshold {
			continue // it may still crash targets, so that their service can fail while it is checked
		}
		from := c.env.address(callerHost+random.IntN(request.addresses), 0)
		id := fmt.Sprintf("%s-%s-%d", kind, name, n)
		// The target crashes, so there is no result to check. The send outlasts the patience of a caller that waits.
		go sendFrom(from.Addr(), request.patience, c.env.CallerLinks[entry].From, backend.CrashPath+request.mode, id)
	}
}

// sendFrom sends a lookup from the given address, with an idempotency key of its own, and does not wait longer than
// the patience for the response.
func sendFrom(from netip.Addr, patience time.Duration, to netip.AddrPort, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, http.NoBody)
	if err != nil {
		return
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("X-Deadline-Remaining", "2000")
	if response, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// pollConfiguration sends requests on the route that was added last to random entries, and checks that they have the
// configuration in force.
func (c *callers) pollConfiguration(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	checker := newConfigurationChecker(len(c.env.CallerLinks))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(pollInterval)
		entry := random.IntN(len(c.env.CallerLinks))
		newest, undisturbed, starts, started := c.env.newest(), c.env.undisturbedWithStore(entry, refusalTimeout), c.env.startCount(entry), time.Now()
		status, _ := send(client, c.env.CallerLinks[entry].From, http.MethodGet, newest.prefix+"x", fmt.Sprintf("%s-%d", name, n))
		if starts != c.env.startCount(entry) {
			continue
		}
		undisturbed = undisturbed && c.env.undisturbedWithStore(entry, refusalTimeout)
		if violation := checker.check(entry, starts, newest, status, undisturbed && started.Sub(newest.at) > applyTimeout+applyMargin); violation != "" {
			c.mu.Lock()
			c.violations = append(c.violations, violation)
			c.mu.Unlock()
		}
	}
}
