package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"poplarworks/measure/tally"
)

const (
	maxIdleConnections = 4096
	maxBodyBytes       = 64 << 20
	rateCheckInterval  = time.Millisecond // between two checks of a rate that is zero
)

// Request describes one request to send.
type Request struct {
	Class      string // results are counted separately for each class
	URL        string
	Method     string
	Body       string
	Header     map[string]string
	Deadline   time.Duration // later responses do not count as served in time
	MaxResends int           // limits how often a refused or failed request is sent again
}

// Generator sends requests at random times (a Poisson process) with a given mean rate; its exported fields are set
// before Run.
type Generator struct {
	Rate     func(elapsed time.Duration) float64 // requests per second
	Duration time.Duration
	Next     func(random *rand.Rand, elapsed time.Duration) Request
	Seed     uint64
	Slice    time.Duration // width of the time slices for which results are also counted; zero for none

	client *http.Client
	group  sync.WaitGroup
	result *tally.Result
}

// Run sends all requests and waits for their responses.
func (g *Generator) Run(ctx context.Context) *tally.Result {
	g.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			MaxIdleConns:        0,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	g.result = tally.New(g.Slice, g.Duration)
	random := rand.New(rand.NewPCG(g.Seed, g.Seed))
	started := time.Now()
	offset := time.Duration(0)
	for ctx.Err() == nil {
		offset = g.next(offset, random)
		if offset >= g.Duration {
			break
		}
		request := g.Next(random, offset)
		if wait := time.Until(started.Add(offset)); wait > 0 {
			time.Sleep(wait)
		}
		due := started.Add(offset)
		g.group.Go(func() { g.sendWithRetries(ctx, request, due, due.Sub(started)) })
	}
	g.group.Wait()
	g.client.CloseIdleConnections()
	return g.result
}

// next returns the time of the next request; while the rate is zero it checks the rate again at every interval.
func (g *Generator) next(offset time.Duration, random *rand.Rand) time.Duration {
	for offset < g.Duration {
		rate := g.Rate(offset)
		if rate <= 0 {
			offset += rateCheckInterval
			continue
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		return offset + gap
	}
	return offset
}

// sendWithRetries sends one request until it is served, its deadline has passed or its retries are used up. Latency is
// measured from the time at which the request was due, so that it includes delays of the generator.
func (g *Generator) sendWithRetries(ctx context.Context, request Request, due time.Time, offset time.Duration) {
	for attempt := 0; ; attempt++ {
		outcome := g.send(ctx, request, due)
		if outcome.served() || attempt >= request.MaxResends || time.Since(due) > request.Deadline && request.Deadline > 0 {
			g.result.Add(request.Class, completion(request, outcome, time.Since(due)), offset)
			return
		}
		g.result.CountResend()
		time.Sleep(outcome.retryAfter)
	}
}

func completion(request Request, r response, latency time.Duration) tally.Completion {
	return tally.Completion{
		Outcome: r.outcome(),
		Served:  r.served(),
		InTime:  r.served() && (request.Deadline == 0 || latency <= request.Deadline),
		Latency: latency,
	}
}

// response is the result of one attempt.
type response struct {
	status     int
	code       string
	execution  string
	retryAfter time.Duration
	err        error
}

func (r response) served() bool {
	return r.err == nil && r.status < 400
}

func (r response) outcome() string {
	switch {
	case r.err != nil:
		return "error"
	case r.code != "":
		return fmt.Sprintf("%d code %s %s", r.status, r.code, r.execution)
	default:
		return strconv.Itoa(r.status)
	}
}

// send makes one attempt. It sends the time until the deadline to the entry, so that no target runs a request whose
// response would come too late.
func (g *Generator) send(ctx context.Context, request Request, due time.Time) response {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, strings.NewReader(request.Body))
	if err != nil {
		return response{err: err}
	}
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	if request.Deadline > 0 {
		remaining := max(1, (request.Deadline - time.Since(due)).Milliseconds())
		httpRequest.Header.Set("Poplar-Deadline-Ms", strconv.FormatInt(remaining, 10))
	}
	httpResponse, err := g.client.Do(httpRequest)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxBodyBytes))
	r := response{
		status:    httpResponse.StatusCode,
		code:      httpResponse.Header.Get("Poplar-Code"),
		execution: httpResponse.Header.Get("Poplar-Run"),
		err:       err,
	}
	if ms, err := time.ParseDuration(httpResponse.Header.Get("Poplar-Retry-After-Ms") + "ms"); err == nil {
		r.retryAfter = ms
	}
	return r
}
