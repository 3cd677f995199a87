package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/standin/target"
)

const (
	maxSends            = 5
	buildBytes          = 200_000
	buildBytesPerSecond = 400_000
	callTimeout         = 3 * time.Second
	buildTimeout        = 10 * time.Second
)

// caller sends requests to random entries, one at a time, and repeats fees that failed.
type caller struct {
	run    *Run
	random *rand.Rand
	name   string
	client *http.Client
	count  int
}

func (r *Run) newCaller(name string, random *rand.Rand) *caller {
	return &caller{run: r, random: random, name: name, client: &http.Client{Transport: &http.Transport{}}}
}

// runCaller runs one caller until the context ends.
func (r *Run) runCaller(ctx context.Context, random *rand.Rand, i int) {
	c := r.newCaller(fmt.Sprintf("caller-%d", i), random)
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.count++
		switch n := random.IntN(20); {
		case n < 9:
			c.sendLookup()
		case n < 10:
			c.download()
		default:
			c.payFee(ctx)
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (c *caller) entry() *fleet.Entry {
	return c.run.fleet.Entries[c.random.IntN(len(c.run.fleet.Entries))]
}

func (c *caller) token() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.name, c.count)
}

// result is the result of one request, with the body as far as it was read.
type result struct {
	send
	body []byte
	err  error
}

// send sends a request to a random entry. It gives up after the shorter of the two times.
func (c *caller) send(method, path, key string, timeout time.Duration, maxWait time.Duration) result {
	return c.sendTo(c.entry(), method, path, key, min(timeout, maxWait))
}

// sendTo sends a request to the entry and records the send in the history. The status is zero when there was no
// complete response.
func (c *caller) sendTo(entry *fleet.Entry, method, path, key string, timeout time.Duration) result {
	token := c.token()
	got := result{send: send{key: key, token: token, startedAt: time.Now()}}
	defer func() {
		got.endedAt = time.Now()
		c.run.history.addSend(got.send)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, entry.CallerURL+path, strings.NewReader(key))
	if err != nil {
		got.err = err
		return got
	}
	request.Header.Set("Request-Token", token)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := c.client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = reply.Body.Close() }()
	got.status, got.run, got.code = reply.StatusCode, reply.Header.Get("Poplar-Run"), reply.Header.Get("Poplar-Code")
	got.body, got.err = io.ReadAll(reply.Body)
	if got.err != nil {
		got.status = 0
	}
	return got
}

// sendLookup sends a lookup, and checks that the response is complete and belongs to this request.
func (c *caller) sendLookup() {
	got := c.send(http.MethodGet, fmt.Sprintf("/status/%d?work=%dms", c.random.IntN(1000), 1+c.random.IntN(10)), "", callTimeout, callTimeout)
	c.run.history.count("lookups")
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	c.run.history.count("lookups served")
	if !strings.Contains(string(got.body), " token="+got.token+" ") || !strings.HasSuffix(string(got.body), "\n") {
		c.run.history.addViolation(fmt.Sprintf("lookup %s got the response %q", got.token, got.body))
	}
}

// download reads a file and checks every byte of it.
func (c *caller) download() {
	got := c.send(http.MethodGet, fmt.Sprintf("/builds/1?bytes=%d&rate=%d", buildBytes, buildBytesPerSecond), "", buildTimeout, buildTimeout)
	c.run.history.count("downloads")
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	c.run.history.count("downloads served")
	if len(got.body) != buildBytes {
		c.run.history.addViolation(fmt.Sprintf("download %s ended without an error after %d bytes", got.token, len(got.body)))
		return
	}
	for i, b := range got.body {
		if b != target.ByteAt(int64(i)) {
			c.run.history.addViolation(fmt.Sprintf("download %s got a wrong byte at %d", got.token, i))
			return
		}
	}
}

// payFee sends one fee until it is served or has been sent maxSends times. At random it gives up early, so that the
// next send overlaps with the execution of the previous one.
func (c *caller) payFee(ctx context.Context) {
	key := c.name + "-fee-" + c.token()
	path := fmt.Sprintf("/fees/1?work=%dms", 1+c.random.IntN(20))
	c.run.history.count("fees")
	for range maxSends {
		maxWait := callTimeout
		if c.random.IntN(4) == 0 {
			maxWait = time.Duration(1+c.random.IntN(60)) * time.Millisecond
		}
		got := c.send(http.MethodPost, path, key, callTimeout, maxWait)
		if got.err == nil && got.status == http.StatusOK {
			c.run.history.count("fees served")
			c.checkFee(key, got)
			return
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(300)) * time.Millisecond)
	}
}

// checkFee checks that the response is complete and belongs to a send with this key.
func (c *caller) checkFee(key string, got result) {
	_, rest, found := strings.Cut(string(got.body), " token=")
	token, _, complete := strings.Cut(rest, " ")
	if !found || !complete || !strings.HasPrefix(token, c.name+"-") || !strings.Contains(rest, fmt.Sprintf("body-bytes=%d\n", len(key))) {
		c.run.history.addViolation(fmt.Sprintf("fee %s got the response %q", key, got.body))
		return
	}
	c.run.history.mu.Lock()
	defer c.run.history.mu.Unlock()
	for _, s := range c.run.history.sends {
		if s.token == token && s.key != key {
			c.run.history.violations = append(c.run.history.violations, fmt.Sprintf("fee %s got the response to fee %s", key, s.key))
		}
	}
}
