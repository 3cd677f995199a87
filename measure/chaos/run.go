package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/plan"
)

const (
	callerCount    = 24
	recoveryPeriod = 6 * time.Second // without faults at the end of a run, so that the fleet can converge
)

// Run is one randomised run. Its exported fields are set before Do.
type Run struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	Tags     string // build tags of the programs, to test that the checks find a mutant's violations
	Out      io.Writer

	fleet   *fleet.Fleet
	history history
	locks   resourceLocks
}

// Do performs the run and returns its report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	f, err := fleet.Start(plan.Plan{
		Entries:      r.Entries,
		Groups:       groups(r.Seed),
		VMListLag:    500 * time.Millisecond,
		PeerProxies:  true,
		StoreProxies: true,
		Tags:         r.Tags,
	})
	if err != nil {
		return nil, err
	}
	r.fleet = f
	defer f.Stop()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	r.runWorkload(ctx)
	report, err := r.check()
	if err != nil {
		return nil, err
	}
	return report, nil
}

func groups(seed uint64) []plan.Group {
	common := plan.Group{
		Count: 4, Slots: 6, Queue: 40, Work: 4 * time.Millisecond, ConnectCost: time.Millisecond,
		ReportLag: 10 * time.Millisecond, RestartAfter: 700 * time.Millisecond, ColdFor: time.Second, ColdFactor: 3,
		NoiseQuiet: 200 * time.Millisecond, NoiseNoisy: 30 * time.Millisecond, NoiseFactor: 5, Seed: seed,
	}
	status, fees := common, common
	status.Name, fees.Name = "status", "fees"
	return []plan.Group{status, fees}
}

// prepare writes the records of the run, and waits until they are in force.
func (r *Run) prepare() error {
	limits := fmt.Sprintf(`{"schema": 2, "kind": "limits", "name": "default", "reads-per-second": 2000,
		"writes-per-second": 600, "max-entries": %d}`, r.Entries)
	probes := fmt.Sprintf(`"capacity": {"slots": 6, "connections": 300, "max-entries": %d},
		"probe": {"path": "/load", "cost": "1ms", "budget": "60ms"}, "ramp": "1s"`, r.Entries)
	err := r.fleet.Put(
		limits,
		r.fleet.Groups[0].Service(probes),
		r.fleet.Groups[1].Service(probes),
		`{"schema": 2, "kind": "rule", "name": "lookup", "service": "status", "match": {"path-prefix": "/status"},
			"idempotent": true, "deadline": "2s", "hedge": {"ratio": 0.05}, "not-run-statuses": [503]}`,
		`{"schema": 1, "kind": "rule", "name": "build", "service": "status", "path": "/builds", "method": "GET",
			"safe-to-repeat": true, "long": true, "deadline-ms": 8000}`,
		`{"schema": 1, "kind": "rule", "name": "fee", "service": "fees", "path": "/fees", "method": "POST",
			"deadline-ms": 2000, "not-run": [503]}`,
	)
	if err != nil {
		return err
	}
	_, err = r.fleet.InForce(6, 10*time.Second)
	return err
}

// runWorkload runs callers, operators, stops and faults for the duration of the run, and then waits for the recovery
// period.
func (r *Run) runWorkload(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var group, watchers sync.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	watchers.Go(func() { r.watchRevisions(watching) })
	for i := range callerCount {
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+i)))
		group.Go(func() { r.runCaller(bounded, random, i) })
	}
	for i := range 2 {
		random := rand.New(rand.NewPCG(r.Seed, uint64(200+i)))
		group.Go(func() { r.writeRecords(bounded, random, i) })
	}
	group.Go(func() { r.planStops(bounded, rand.New(rand.NewPCG(r.Seed, 300))) })
	group.Go(func() { r.drainTargets(bounded, rand.New(rand.NewPCG(r.Seed, 301))) })
	// Every run injects this fault at least once, before other faults can hide its effects.
	r.killHolder(bounded, rand.New(rand.NewPCG(r.Seed, 302)))
	for i := range 2 {
		random := rand.New(rand.NewPCG(r.Seed, uint64(400+i)))
		group.Go(func() { r.injectFaults(bounded, random) })
	}
	group.Wait()
	time.Sleep(recoveryPeriod)
	stopWatching()
	watchers.Wait()
}
