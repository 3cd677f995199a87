package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"poplarworks/standin/backend"
)

const (
	callTimeout = 3 * time.Second
	crashEvery  = 300 * time.Millisecond // between requests that crash the targets that run them
	lookEvery   = 50 * time.Millisecond  // between requests on the route that was added last
	crashID     = "crash-calm"           // begins the ids of requests to entries to which nothing has happened for refusedWithin
)

// answer is what one request came to; a status of zero stands for a connection that ended.
type answer struct {
	id      string
	entry   int
	payment bool
	status  int
	body    string
	signed  bool
	begun   time.Time
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

	mu       sync.Mutex
	answers  []answer
	breaches []string // of configurations, found on the way
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
		entry, begun := random.IntN(len(c.world.Fronts)), time.Now()
		status, text := send(client, c.world.Fronts[entry].From, method, path, id)
		body, signature, _ := strings.Cut(text, "|")
		c.mu.Lock()
		c.answers = append(c.answers, answer{
			id: id, entry: entry, payment: payment, status: status, body: body, signed: signature != "", begun: begun, at: time.Now(),
		})
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
}

// crash sends the same request again and again, which crashes each target that runs it, to any entry.
func (c *callers) crash(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		entry, kind := random.IntN(len(c.world.Fronts)), "crash-disturbed"
		if c.world.calm(entry, refusedWithin) {
			kind = crashID
		}
		send(client, c.world.Fronts[entry].From, http.MethodGet, backend.CrashPath, fmt.Sprintf("%s-%s-%d", kind, name, n)) // none is answered
		time.Sleep(crashEvery)
	}
}

// follow asks the entries on the route that was added last.
func (c *callers) follow(ctx context.Context, random *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	watch := newConfigurationWatch(len(c.world.Fronts))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(lookEvery)
		entry := random.IntN(len(c.world.Fronts))
		newest, inTouch, starts, begun := c.world.newest(), c.world.inTouch(entry, refusedWithin), c.world.starts(entry), time.Now()
		status, _ := send(client, c.world.Fronts[entry].From, http.MethodGet, newest.prefix+"x", fmt.Sprintf("%s-%d", name, n))
		if starts != c.world.starts(entry) {
			continue
		}
		inTouch = inTouch && c.world.inTouch(entry, refusedWithin)
		if breach := watch.look(entry, starts, newest, status, inTouch && begun.Sub(newest.at) > applyWithin+applySlack); breach != "" {
			c.mu.Lock()
			c.breaches = append(c.breaches, breach)
			c.mu.Unlock()
		}
	}
}
