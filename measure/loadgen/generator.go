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
	idleConnections = 4096
	maxBody         = 64 << 20
	coarseStep      = time.Millisecond // longest sleep between two looks at a rate that changes
)

// Shot is one request to send.
type Shot struct {
	Class    string // results are kept apart by class
	URL      string
	Method   string
	Body     string
	Header   map[string]string
	Deadline time.Duration // answers after it do not count as served
	Resend   int           // times that a refused or failed request is sent again
}

// Generator sends shots at random moments with a given mean rate; its exported fields are set before Run.
type Generator struct {
	Rate     func(elapsed time.Duration) float64 // shots a second
	Duration time.Duration
	Next     func(random *rand.Rand, elapsed time.Duration) Shot
	Seed     uint64
	Slice    time.Duration // width of the slices of time in which results are also kept; zero for none

	client *http.Client
	group  sync.WaitGroup
	result *tally.Result
}

// Run sends all shots and waits for their answers.
func (g *Generator) Run(ctx context.Context) *tally.Result {
	g.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			MaxIdleConns:        0,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	g.result = tally.New(g.Slice, g.Duration)
	random := rand.New(rand.NewPCG(g.Seed, g.Seed))
	begun := time.Now()
	at := time.Duration(0)
	for ctx.Err() == nil {
		at = g.next(at, random)
		if at >= g.Duration {
			break
		}
		shot := g.Next(random, at)
		if wait := time.Until(begun.Add(at)); wait > 0 {
			time.Sleep(wait)
		}
		due := begun.Add(at)
		g.group.Go(func() { g.fire(ctx, shot, due, due.Sub(begun)) })
	}
	g.group.Wait()
	g.client.CloseIdleConnections()
	return g.result
}

// next returns the moment of the next shot; while the rate is nearly zero it looks again every step.
func (g *Generator) next(at time.Duration, random *rand.Rand) time.Duration {
	for at < g.Duration {
		rate := g.Rate(at)
		if rate <= 0 {
			at += coarseStep
			continue
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		return at + gap
	}
	return at
}

// fire sends one shot, measuring from the moment at which it was due.
func (g *Generator) fire(ctx context.Context, shot Shot, due time.Time, offset time.Duration) {
	for try := 0; ; try++ {
		outcome := g.send(ctx, shot, due)
		if outcome.served() || try >= shot.Resend || time.Since(due) > shot.Deadline && shot.Deadline > 0 {
			g.result.Add(shot.Class, end(shot, outcome, time.Since(due)), offset)
			return
		}
		g.result.CountResend()
		time.Sleep(outcome.retryAfter)
	}
}

func end(shot Shot, a answer, latency time.Duration) tally.End {
	return tally.End{
		Outcome: a.describe(),
		Served:  a.served(),
		InTime:  a.served() && (shot.Deadline == 0 || latency <= shot.Deadline),
		Latency: latency,
	}
}

// answer is what came of one send.
type answer struct {
	status     int
	code       string
	run        string
	retryAfter time.Duration
	err        error
}

func (a answer) served() bool {
	return a.err == nil && a.status < 400
}

func (a answer) describe() string {
	switch {
	case a.err != nil:
		return "error"
	case a.code != "":
		return fmt.Sprintf("%d code %s %s", a.status, a.code, a.run)
	default:
		return strconv.Itoa(a.status)
	}
}

// send tells the entry how much of the caller's patience is left, so that nothing is run for an answer that comes too
// late.
func (g *Generator) send(ctx context.Context, shot Shot, due time.Time) answer {
	request, err := http.NewRequestWithContext(ctx, shot.Method, shot.URL, strings.NewReader(shot.Body))
	if err != nil {
		return answer{err: err}
	}
	for name, value := range shot.Header {
		request.Header.Set(name, value)
	}
	if shot.Deadline > 0 {
		left := max(1, (shot.Deadline - time.Since(due)).Milliseconds())
		request.Header.Set("Poplar-Deadline-Ms", strconv.FormatInt(left, 10))
	}
	reply, err := g.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(reply.Body, maxBody))
	a := answer{
		status: reply.StatusCode,
		code:   reply.Header.Get("Poplar-Code"),
		run:    reply.Header.Get("Poplar-Run"),
		err:    err,
	}
	if ms, err := time.ParseDuration(reply.Header.Get("Poplar-Retry-After-Ms") + "ms"); err == nil {
		a.retryAfter = ms
	}
	return a
}
