package conformance

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	maxExchanges = 4 // on one connection
	shrinkLimit  = 5 * time.Second
)

// run is one property check with a seed: sequences of exchanges, and the smallest one that fails.
type run struct {
	ctx         context.Context // since a property of rapid takes none
	environment *environment
	seed        uint64
	checks      int
	out         io.Writer

	played atomic.Int64
	first  string // what the first failing exchange showed, before it was made smaller
	failed bool
}

// do performs the checks and reports whether all held. It uses the flags of rapid, so that only one run may be in progress.
func (r *run) do() bool {
	if !flag.Parsed() {
		testing.Init() // rapid asks for its flags outside of tests too
		_ = flag.CommandLine.Parse(nil)
	}
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(r.seed, 10), "rapid.checks": strconv.Itoa(r.checks),
		"rapid.nofailfile": "true", "rapid.shrinktime": shrinkLimit.String(),
	} {
		if err := flag.Set(name, value); err != nil {
			r.Errorf("%v", err)
			return false
		}
	}
	done := make(chan bool)
	go func() {
		defer close(done)
		rapid.Check(r, r.property)
	}()
	<-done
	return !r.failed
}

// property plays a sequence of exchanges over one connection to a target, and then over one to an entry.
func (r *run) property(t *rapid.T) {
	exchanges := rapid.SliceOfN(rapid.Custom(drawExchange), 1, maxExchanges).Draw(t, "exchanges")
	entry := rapid.IntRange(0, len(r.environment.fleet.Entries)-1).Draw(t, "entry")
	through := &client{address: strings.TrimPrefix(r.environment.fleet.Entries[entry].CallerURL, "http://")}
	defer through.close()
	for i, x := range exchanges {
		n := int(r.played.Add(1))
		straight := &client{address: r.environment.direct[x.service()]}
		found := r.environment.play(r.ctx, straight, fmt.Sprintf("direct-%d", n), x, n, x.service())
		straight.close()
		r.compare(t, "played directly", i, x, found)
		r.compare(t, "through an entry", i, x, r.environment.play(r.ctx, through, fmt.Sprintf("entry-%d", n), x, n, x.service()))
	}
}

func (r *run) compare(t *rapid.T, how string, i int, x exchange, found []string) {
	if len(found) == 0 {
		return
	}
	if r.first == "" {
		r.first = how + ": " + strings.Join(found, "; ")
	}
	t.Fatalf("%s, exchange %d, %s:\n    %s", how, i, x, strings.Join(found, "\n    "))
}
