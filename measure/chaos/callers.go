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
	mostSends    = 5
	buildSize    = 200_000 // bytes
	buildRate    = 400_000 // bytes a second
	callTimeout  = 3 * time.Second
	buildTimeout = 10 * time.Second
)

// caller sends requests one after the other, and sends what failed again, to any entry.
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

func (r *Run) call(ctx context.Context, random *rand.Rand, i int) {
	c := r.newCaller(fmt.Sprintf("caller-%d", i), random)
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.count++
		switch n := random.IntN(20); {
		case n < 9:
			c.lookUp()
		case n < 10:
			c.download()
		default:
			c.pay(ctx)
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

// received is an answer, whole or not.
type received struct {
	send
	body []byte
	err  error
}

func (c *caller) send(method, path, key string, timeout time.Duration, patience time.Duration) received {
	return c.sendTo(c.entry(), method, path, key, min(timeout, patience))
}

func (c *caller) sendTo(entry *fleet.Entry, method, path, key string, timeout time.Duration) received {
	token := c.token()
	got := received{send: send{key: key, token: token, begun: time.Now()}}
	defer func() {
		got.ended = time.Now()
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

// lookUp checks that the answer is whole and the caller's own.
func (c *caller) lookUp() {
	got := c.send(http.MethodGet, fmt.Sprintf("/status/%d?work=%dms", c.random.IntN(1000), 1+c.random.IntN(10)), "", callTimeout, callTimeout)
	c.run.history.count("lookups")
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	c.run.history.count("lookups served")
	if !strings.Contains(string(got.body), " token="+got.token+" ") || !strings.HasSuffix(string(got.body), "\n") {
		c.run.history.addWrong(fmt.Sprintf("lookup %s got the answer %q", got.token, got.body))
	}
}

// download checks every byte of a file.
func (c *caller) download() {
	got := c.send(http.MethodGet, fmt.Sprintf("/builds/1?bytes=%d&rate=%d", buildSize, buildRate), "", buildTimeout, buildTimeout)
	c.run.history.count("downloads")
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	c.run.history.count("downloads served")
	if len(got.body) != buildSize {
		c.run.history.addWrong(fmt.Sprintf("download %s got %d bytes as if whole", got.token, len(got.body)))
		return
	}
	for i, b := range got.body {
		if b != target.ByteAt(int64(i)) {
			c.run.history.addWrong(fmt.Sprintf("download %s got a wrong byte at %d", got.token, i))
			return
		}
	}
}

// pay sends one fee until it is answered, at times before the last send has ended.
func (c *caller) pay(ctx context.Context) {
	key := c.name + "-fee-" + c.token()
	path := fmt.Sprintf("/fees/1?work=%dms", 1+c.random.IntN(20))
	c.run.history.count("fees")
	for range mostSends {
		patience := callTimeout
		if c.random.IntN(4) == 0 {
			patience = time.Duration(1+c.random.IntN(60)) * time.Millisecond
		}
		got := c.send(http.MethodPost, path, key, callTimeout, patience)
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

// checkFee checks that the answer is that of a send of this very key.
func (c *caller) checkFee(key string, got received) {
	_, rest, found := strings.Cut(string(got.body), " token=")
	token, _, whole := strings.Cut(rest, " ")
	if !found || !whole || !strings.HasPrefix(token, c.name+"-") || !strings.Contains(rest, fmt.Sprintf("body-bytes=%d\n", len(key))) {
		c.run.history.addWrong(fmt.Sprintf("fee %s got the answer %q", key, got.body))
		return
	}
	c.run.history.mu.Lock()
	defer c.run.history.mu.Unlock()
	for _, s := range c.run.history.sends {
		if s.token == token && s.key != key {
			c.run.history.wrong = append(c.run.history.wrong, fmt.Sprintf("fee %s got the answer of %s", key, s.key))
		}
	}
}
