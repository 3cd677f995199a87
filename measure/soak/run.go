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
	callersEach   = 4 // for each entry
	fewestTargets = 3 // of a service, below which none is taken away
	calmTime      = 4 * time.Second
	settleTime    = 2 * time.Second // of the calm time, in which the last faults may still show
	leastCalm     = 0.98            // share of requests that are served in the rest of the calm time
)

// Run is one soak; its fields are set before Do.
type Run struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	Targets  int
	Out      io.Writer

	world   *World
	random  *rand.Rand
	pending sync.WaitGroup // faults that have not ended
}

// Do runs it and returns the broken promises and the requests served.
func (r *Run) Do(ctx context.Context) (breaches []string, served int, err error) {
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.world, err = NewWorld(r.Entries, r.Targets)
	if err != nil {
		return nil, 0, err
	}
	defer r.world.Stop()
	calling, stop := context.WithCancel(ctx)
	defer stop()
	c := &callers{world: r.world}
	var done sync.WaitGroup
	for i := range callersEach * r.Entries {
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+i)))
		done.Go(func() { c.run(calling, random, fmt.Sprintf("c%d-%d", r.Seed, i)) })
	}
	crashes := rand.New(rand.NewPCG(r.Seed, 2))
	done.Go(func() { c.crash(calling, crashes, fmt.Sprintf("crash%d", r.Seed)) })
	looks := rand.New(rand.NewPCG(r.Seed, 3))
	done.Go(func() { c.follow(calling, looks, fmt.Sprintf("look%d", r.Seed)) })
	for end := time.Now().Add(r.Duration); time.Now().Before(end); {
		r.fault(ctx)
		time.Sleep(time.Duration(100+r.random.IntN(500)) * time.Millisecond)
	}
	r.calm()
	r.world.Configure()
	time.Sleep(calmTime)
	missing := c.checkConfigured()
	stop()
	done.Wait()
	breaches, served = c.check()
	breaches = append(breaches, missing...)
	return append(breaches, c.checkCalm(time.Now().Add(settleTime-calmTime))...), served, nil
}

// later calls the function after the time, and holds the calm up until then.
func (r *Run) later(wait time.Duration, call func()) {
	r.pending.Add(1)
	time.AfterFunc(wait, func() {
		defer r.pending.Done()
		call()
	})
}

// calm waits for the end of all faults, and undoes what they left.
func (r *Run) calm() {
	r.pending.Wait()
	r.breakStore(rowstore.Faults{})
	for _, l := range append(r.world.Links, r.world.Fronts...) {
		r.mend(l)
	}
	for i := range r.world.Entries {
		r.restart(i)
	}
	for _, t := range append(r.world.Targets("lookups"), r.world.Targets("fees")...) {
		t.Break(backend.Faults{})
		r.mend(r.world.path(t))
	}
}

func (r *Run) mend(l *link.Link) {
	l.Clear()
	if err := l.Mend(); err != nil {
		r.note("the link cannot be mended: %v", err)
	}
}

func (r *Run) note(format string, values ...any) {
	_, _ = fmt.Fprintf(r.Out, "  "+strings.TrimSuffix(format, "\n")+"\n", values...) // a report that cannot be read helps nobody
}

// restart continues a process that is paused, and starts one that has ended.
func (r *Run) restart(i int) {
	p := r.world.Entries[i]
	r.world.Disturb(i)
	p.Signal(syscall.SIGCONT)
	if p.Running() {
		return
	}
	r.world.Started(i)
	if err := p.Start(); err != nil {
		r.note("%s does not start: %v", p.Name, err)
	}
}
