package conformance

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/plan"
)

const (
	mainTargets  = 3
	inForceLimit = 5 * time.Second
	warmUps      = 150 // answers after which requests are hedged
)

// environment is a fleet of entries in front of targets that play scripts.
type environment struct {
	fleet   *fleet.Fleet
	targets []*target
	direct  map[string]string // address of a target of each service
	cancel  context.CancelFunc
}

func newEnvironment(ctx context.Context) (*environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	f, err := fleet.Start(plan.Plan{Entries: 2})
	if err != nil {
		cancel()
		return nil, err
	}
	e := &environment{fleet: f, direct: map[string]string{}, cancel: cancel}
	if err := e.configure(ctx); err != nil {
		e.stop()
		return nil, err
	}
	return e, e.warmUp(ctx)
}

func (e *environment) stop() {
	e.cancel()
	e.fleet.Stop()
}

func (e *environment) configure(ctx context.Context) error {
	records := []string{
		`{"schema": 2, "kind": "limits", "name": "default", "reads-per-second": 1000, "writes-per-second": 600, "max-entries": 2}`,
	}
	for service, count := range map[string]int{mainService: mainTargets, otherService: 1} {
		g := &target{service: service}
		e.targets = append(e.targets, g)
		var list []string
		for i := range count {
			address, err := g.listen(ctx)
			if err != nil {
				return err
			}
			e.direct[service] = address
			list = append(list, fmt.Sprintf(`{"name": "%s-%d", "address": %q}`, service, i, address))
		}
		records = append(records, fmt.Sprintf(`{"schema": 2, "kind": "service", "name": %q, "targets": [%s], "capacity": {"slots": 100}}`,
			service, strings.Join(list, ", ")))
	}
	records = append(records, `{"schema": 2, "kind": "rule", "name": "other", "service": "other", "match": {"path-prefix": "/"}, "idempotent": true,
		"deadline": "5s", "limits": {"body-bytes": 8388608}}`)
	fields := map[string]string{
		"/lookup": `"idempotent": true`,
		"/long":   `"idempotent": true, "class": "long"`,
		"/once":   `"idempotency-key": {"required": false}`,
		"/hedged": `"idempotent": true, "hedge": {"ratio": 0.5}`,
	}
	for _, class := range classes() {
		name := strings.TrimPrefix(class, "/")
		records = append(records,
			fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": %q, "service": "main", "match": {"path-prefix": %q}, %s, "deadline": "5s",
				"limits": {"body-bytes": 8388608, "answer-bytes": 262144}}`, name, class, fields[class]),
			fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": "%s-sub", "service": "other", "match": {"path-prefix": %q}, "idempotent": true, "deadline": "5s",
				"limits": {"body-bytes": 8388608}}`, name, class+"/sub/"))
	}
	if err := e.fleet.Put(records...); err != nil {
		return err
	}
	_, err := e.fleet.InForce(uint64(len(records)), inForceLimit)
	return err
}

// warmUp lets the entries learn the latency after which they hedge.
func (e *environment) warmUp(ctx context.Context) error {
	for i := range warmUps * len(e.fleet.Entries) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.fleet.Entries[i%len(e.fleet.Entries)].CallerURL+"/hedged/warm", http.NoBody)
		if err != nil {
			return err
		}
		response, err := e.fleet.HTTP.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
	}
	return nil
}

// play plays an exchange through the client and returns what differs.
func (e *environment) play(ctx context.Context, c *client, id string, x exchange, salt int, service string) []string {
	for _, g := range e.targets {
		g.add(id, x, salt)
	}
	got := c.send(ctx, id, x, salt)
	var arrivals []arrival
	for _, g := range e.targets {
		arrivals = append(arrivals, g.take(id)...)
	}
	return differences(x, salt, service, got, arrivals)
}
