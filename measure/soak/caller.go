package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"poplarworks/standin/backend"
)

const (
	callTimeout   = 3 * time.Second
	crashEvery    = 300 * time.Millisecond // between requests that crash the targets that run them
	crashesKnown  = 3                      // crashes after which such a request is to be refused
	refusedWithin = 3 * time.Second        // after the third, everywhere
	mostLater     = 3                      // that may still reach a target
	crashID       = "crash-calm"           // begins the ids of requests to entries to which nothing has happened for refusedWithin
)

// answer is what one request came to; a status of zero stands for a connection that ended.
type answer struct {
	id      string
	payment bool
	status  int
	body    string
	signed  bool
	at      time.Time
}

// send sends one request and returns its status and body; the body ends with its signature, if it has one.
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

// callers send requests until the context ends, and keep what came of them.
type callers struct {
	world *World

	mu      sync.Mutex
	answers []answer
}

func (c *callers) run(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id, payment := fmt.Sprintf("%s-%d", name, n), random.IntN(3) == 0
		method, path := http.MethodGet, "/status/"+id
		if payment {
			method, path = http.MethodPost, "/fees/"+id
		}
		address := c.world.Callers[random.IntN(len(c.world.Callers))]
		status, text := send(client, address, method, path, id)
		body, signature, _ := strings.Cut(text, "|")
		c.mu.Lock()
		c.answers = append(c.answers, answer{id: id, payment: payment, status: status, body: body, signed: signature != "", at: time.Now()})
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
}

// crash sends the same request again and again, which crashes each target that runs it, to any entry.
func (c *callers) crash(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		entry, kind := random.IntN(len(c.world.Callers)), "crash-disturbed"
		if c.world.calm(entry, refusedWithin) {
			kind = crashID
		}
		send(client, c.world.Callers[entry], http.MethodGet, backend.CrashPath, fmt.Sprintf("%s-%s-%d", kind, name, n)) // none is answered
		time.Sleep(crashEvery)
	}
}

// checkCrashes finds requests that went on to reach targets although they were known to crash them, through entries that had time
// enough to know. An entry that has just started or was cut off may still have to learn it.
func checkCrashes(crashes []backend.Execution) []string {
	slices.SortFunc(crashes, func(x, y backend.Execution) int { return x.At.Compare(y.At) })
	later := 0
	for _, e := range crashes {
		if strings.HasPrefix(e.ID, crashID) && e.At.Sub(crashes[min(crashesKnown, len(crashes))-1].At) > refusedWithin {
			later++
		}
	}
	if later > mostLater {
		return []string{fmt.Sprintf("a request reached %d targets long after it had crashed %d", later, crashesKnown)}
	}
	return nil
}

// checkConfigured finds entries that do not know a route of the newest configuration.
func (c *callers) checkConfigured(prefix string) []string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var breaches []string
	for i, address := range c.world.Callers {
		if status, _ := send(client, address, http.MethodGet, prefix, fmt.Sprintf("configured-%d", i)); status != http.StatusOK {
			breaches = append(breaches, fmt.Sprintf("entry %d answers %d on a route of the newest configuration", i, status))
		}
	}
	return breaches
}

// check returns the promises that were broken, and how many requests were served.
func (c *callers) check() (breaches []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	runs := map[string]int{}
	var crashes []backend.Execution
	for name, t := range c.world.targets {
		for _, e := range t.Runs() {
			runs[e.ID]++
			if strings.HasPrefix(e.ID, "crash") {
				crashes = append(crashes, e)
			}
			if left, ok := c.world.left[name]; ok && e.At.Sub(left) > LeaveWithin {
				breaches = append(breaches, fmt.Sprintf("request %s reached %s %s after it had said that it leaves", e.ID, name, e.At.Sub(left)))
			}
		}
	}
	breaches = append(breaches, checkCrashes(crashes)...)
	for _, a := range c.answers {
		switch {
		case a.payment && runs[a.id] > 1:
			breaches = append(breaches, fmt.Sprintf("payment %s ran %d times", a.id, runs[a.id]))
		case a.payment && a.status == http.StatusServiceUnavailable && runs[a.id] > 0:
			breaches = append(breaches, fmt.Sprintf("payment %s ran, and its caller was told that it had not", a.id))
		case a.status == http.StatusOK && (a.body != backend.Body(a.id) || !a.signed):
			breaches = append(breaches, fmt.Sprintf("request %s got %q", a.id, a.body))
		case a.status >= 300 && a.status < 500:
			breaches = append(breaches, fmt.Sprintf("request %s got status %d, though it is allowed", a.id, a.status))
		case a.status == http.StatusOK:
			served++
		}
	}
	return breaches, served
}
