package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"poplarworks/measure/link"
	"poplarworks/standin/backend"
	"poplarworks/standin/rowstore"
)

const (
	callersPerEntry = 4
	minTargets      = 3 // number of targets of a service below which the run removes none
	recoveryPeriod  = 4 * time.Second
	settleTime      = 2 * time.Second // start of the recovery period, in which the last faults may still have effects
	minServedShare  = 0.98            // of the requests in the rest of the recovery period
)

// Run is one soak run. Its exported fields are set before Do.
type Run struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	Targets  int
	Out      io.Writer

	env     *Environment
	random  *rand.Rand
	pending sync.WaitGroup // scheduled calls that have not returned
}

// Do performs the run, and returns the violated guarantees and the number of requests that were served.
func (r *Run) Do(ctx context.Context) (violations []string, served int, err error) {
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.env, err = NewEnvironment(r.Entries, r.Targets)
	if err != nil {
		return nil, 0, err
	}
	defer r.env.Stop()
	callersContext, stop := context.WithCancel(ctx)
	defer stop()
	c := &callers{env: r.env}
	var done sync.WaitGroup
	for i := range callersPerEntry * r.Entries {
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+i)))
		done.Go(func() { c.run(callersContext, random, fmt.Sprintf("c%d-%d", r.Seed, i)) })
	}
	crashRandom := rand.New(rand.NewPCG(r.Seed, 2))
	r.env.LimitTarget(r.env.ActiveTargets("lookups")[0], 0.5+8*rand.New(rand.NewPCG(r.Seed, 4)).Float64())
	crash := newCrashRequest(crashRandom)
	r.logf("seed %d: a request crashes targets: %+v", r.Seed, crash)
	done.Go(func() { c.sendCrashRequests(callersContext, crashRandom, fmt.Sprintf("crash%d", r.Seed), crash) })
	pollRandom := rand.New(rand.NewPCG(r.Seed, 3))
	done.Go(func() { c.pollConfiguration(callersContext, pollRandom, fmt.Sprintf("look%d", r.Seed)) })
	r.scheduleRestores()
	for end := time.Now().Add(r.Duration); time.Now().Before(end); {
		r.injectFault(ctx)
		time.Sleep(time.Duration(100+r.random.IntN(500)) * time.Millisecond)
	}
	r.clearFaults()
	c.recovering.Store(true)
	r.env.Configure()
	time.Sleep(recoveryPeriod)
	missingRoutes := c.checkNewestRoute()
	stop()
	done.Wait()
	violations, served = c.check()
	violations = append(violations, missingRoutes...)
	return append(violations, c.checkRecovery(time.Now().Add(settleTime-recoveryPeriod))...), served, nil
}

// schedule calls the function after the delay. The recovery period begins only when all these calls have returned.
func (r *Run) schedule(delay time.Duration, call func()) {
	r.pending.Add(1)
	time.AfterFunc(delay, func() {
		defer r.pending.Done()
		call()
	})
}

// clearFaults waits until all scheduled calls have returned, and then removes every fault that is left.
func (r *Run) clearFaults() {
	r.pending.Wait()
	r.setStoreFaults(rowstore.Faults{})
	for _, l := range append(r.env.StoreLinks, r.env.CallerLinks...) {
		r.restoreLink(l)
	}
	for i := range r.env.Entries {
		r.restart(i)
	}
	for _, t := range append(r.env.ActiveTargets("lookups"), r.env.ActiveTargets("fees")...) {
		t.SetFaults(backend.Faults{})
		r.restoreLink(r.env.targetLink(t))
	}
}

func (r *Run) restoreLink(l *link.Link) {
	l.Clear()
	if err := l.Restore(); err != nil {
		r.logf("a link cannot be restored: %v", err)
	}
}

func (r *Run) logf(format string, values ...any) {
	// A failed write to the report does not stop the run.
	_, _ = fmt.Fprintf(r.Out, "  "+strings.TrimSuffix(format, "\n")+"\n", values...)
}

// restart resumes an entry's process if it is paused, and starts it again if it has ended.
func (r *Run) restart(i int) {
	p := r.env.Entries[i]
	r.env.RecordDisturbance(i)
	p.Signal(syscall.SIGCONT)
	if p.Running() {
		return
	}
	r.env.RecordStart(i)
	if err := p.Start(); err != nil {
		r.logf("%s cannot be started: %v", p.Name, err)
	}
}
