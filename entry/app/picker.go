package app

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/leastoftwo"
	"poplarworks/core/oracle"
	"poplarworks/core/powerofd"
	"poplarworks/core/randompick"
	"poplarworks/core/roundrobin"
)

const (
	oracleTimeout = 200 * time.Millisecond
	costIfUnknown = 1e9
)

// newPicker returns the picker that the settings name. All except power-of-d are baselines for measurements.
func (e *entry) newPicker(random *rand.Rand) balancer.Picker {
	switch e.Settings.Picker {
	case "round-robin":
		return &roundrobin.Picker{}
	case "random":
		return &randompick.Picker{Random: random}
	case "least-of-two":
		return &leastoftwo.Picker{Random: random}
	case "oracle":
		loads := &trueLoads{url: e.Settings.OracleURL, client: &http.Client{Timeout: oracleTimeout}}
		return &oracle.Picker{Random: random, Refresh: loads.refresh, TrueCost: loads.cost}
	default:
		return &powerofd.Picker{Choices: e.Settings.Choices, Random: random}
	}
}

// trueLoads fetches the true load of stand-in targets for the oracle picker.
type trueLoads struct {
	url    string
	client *http.Client
	costs  map[string]float64
}

func (l *trueLoads) cost(target string) float64 {
	if cost, ok := l.costs[target]; ok {
		return cost
	}
	return costIfUnknown
}

// refresh reads one line for each target: name, running, waiting, slots and slowdown.
func (l *trueLoads) refresh() {
	l.costs = map[string]float64{}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, l.url+"/loads", http.NoBody)
	if err != nil {
		return
	}
	response, err := l.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var name string
		var running, waiting, slots int
		var slowdown float64
		if _, err := fmt.Sscan(lines.Text(), &name, &running, &waiting, &slots, &slowdown); err != nil {
			continue
		}
		queued := max(0, running+waiting+1-slots)
		l.costs[name] = slowdown*(1+float64(queued)/float64(slots)) + 0.001*float64(running+waiting)
	}
}
