package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"poplarworks/measure/execution"
	"poplarworks/measure/plan"
	"poplarworks/measure/proc"
	"poplarworks/measure/trouble"
)

const firstGroupHost = 100

// Targets is the process that runs the targets of one group.
type Targets struct {
	Group plan.Group

	fleet   *Fleet
	host    int
	process *proc.Process
}

func newTargets(f *Fleet, i int, g plan.Group) *Targets {
	t := &Targets{Group: withDefaults(g), fleet: f, host: firstGroupHost + i}
	g = t.Group
	t.process = f.process("targets-"+g.Name, "poplar-standin", "targets",
		"--prefix", g.Name,
		"--first-address", f.address(t.host, targetPort).String(),
		"--control-address", f.address(t.host, controlPort).String(),
		"--count", strconv.Itoa(g.Count),
		"--slots", strconv.Itoa(g.Slots),
		"--connections", strconv.Itoa(g.Connections),
		"--queue", strconv.Itoa(g.Queue),
		"--work", g.Work.String(),
		"--connect-cost", g.ConnectCost.String(),
		"--probe-cost", g.ProbeCost.String(),
		"--report-lag", g.ReportLag.String(),
		"--restart-after", g.RestartAfter.String(),
		"--cold-for", g.ColdFor.String(),
		"--cold-factor", strconv.FormatFloat(g.ColdFactor, 'f', -1, 64),
		"--noise-quiet", g.NoiseQuiet.String(),
		"--noise-noisy", g.NoiseNoisy.String(),
		"--noise-factor", strconv.FormatFloat(g.NoiseFactor, 'f', -1, 64),
		"--seed", strconv.FormatUint(g.Seed, 10),
	)
	return t
}

func withDefaults(g plan.Group) plan.Group {
	if g.Slots == 0 {
		g.Slots = 3
	}
	if g.Connections == 0 {
		g.Connections = 220
	}
	if g.Queue == 0 {
		g.Queue = 50
	}
	if g.Work == 0 {
		g.Work = 2 * time.Millisecond
	}
	if g.ProbeCost == 0 {
		g.ProbeCost = time.Millisecond
	}
	if g.RestartAfter == 0 {
		g.RestartAfter = 500 * time.Millisecond
	}
	if g.ColdFactor == 0 {
		g.ColdFactor = 1
	}
	if g.NoiseFactor == 0 {
		g.NoiseFactor = 4
	}
	if g.Seed == 0 {
		g.Seed = 1
	}
	return g
}

// Address returns the address of a target. The index counts from zero.
func (t *Targets) Address(i int) netip.AddrPort {
	return t.fleet.address(t.host, targetPort+i)
}

// TargetName returns the name of a target. The index counts from zero.
func (t *Targets) TargetName(i int) string {
	return fmt.Sprintf("%s-%d", t.Group.Name, i+1)
}

func (t *Targets) controlURL() string {
	return "http://" + t.fleet.address(t.host, controlPort).String()
}

// Service returns a service record of schema 2 for the group. The extra fields replace the default capacity.
func (t *Targets) Service(extra string) string {
	var targets []string
	for i := range t.Group.Count {
		targets = append(targets, fmt.Sprintf(`{"name": %q, "address": %q}`, t.TargetName(i), t.Address(i)))
	}
	if extra == "" {
		extra = fmt.Sprintf(`"capacity": {"slots": %d, "connections": %d, "max-entries": %d}`,
			t.Group.Slots, t.Group.Connections, max(1, t.fleet.Plan.Entries))
	}
	return fmt.Sprintf(`{"schema": 2, "kind": "service", "name": %q, "targets": [%s], %s,
		"load-header": "Endpoint-Load-Metrics", "drain-header": "Target-Draining"}`,
		t.Group.Name, strings.Join(targets, ", "), extra)
}

// SetFaults sets the faults of a target. The index counts from zero.
func (t *Targets) SetFaults(i int, faults trouble.Target) error {
	return t.fleet.sendJSON(http.MethodPut, t.controlURL()+"/targets/"+t.TargetName(i)+"/faults", faults)
}

// Crash ends a target and its connections. The target restarts after the group's restart time.
func (t *Targets) Crash(i int) error {
	return t.fleet.sendJSON(http.MethodPost, t.controlURL()+"/targets/"+t.TargetName(i)+"/crash", nil)
}

// Executions returns the execution log of the group's targets.
func (t *Targets) Executions() ([]execution.Execution, error) {
	var list []execution.Execution
	err := t.fleet.getJSON(t.controlURL()+"/executions", &list)
	return list, err
}

// Runs returns how often each idempotency key ran at the group's targets.
func (t *Targets) Runs() (map[string]int, error) {
	var runs map[string]int
	err := t.fleet.getJSON(t.controlURL()+"/runs", &runs)
	return runs, err
}

// MaxProbesPerSecond returns the maximum number of probes that each target received within one second.
func (t *Targets) MaxProbesPerSecond() (map[string]int, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, t.controlURL()+"/peaks", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := t.fleet.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	peaks := map[string]int{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var name string
		var probes, connections int
		if _, err := fmt.Sscan(lines.Text(), &name, &probes, &connections); err != nil {
			return nil, err
		}
		peaks[name] = probes
	}
	return peaks, lines.Err()
}
