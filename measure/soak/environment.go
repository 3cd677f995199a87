package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/measure/fleet"
	"poplarworks/measure/link"
	"poplarworks/measure/proc"
	"poplarworks/standin/backend"
	"poplarworks/standin/rowstore"
)

// Time limits in the entries' settings and of this environment. Those in the settings are shorter than the users', so
// that a run reaches them often.
const (
	leaveTimeout         = time.Second
	applyTimeout         = time.Second
	gracePeriod          = 3 * time.Second
	registrationInterval = 200 * time.Millisecond
	startTimeout         = 10 * time.Second
	targetWorkTime       = 10 * time.Millisecond
)

// Size of the fleet, and the budget of extra attempts in the entries' settings.
const (
	dataCentres = 2
	targetSlots = 3
	extraRatio  = 0.2
	extraSlack  = 20
)

// Ports and hosts on loopback: each entry has a host of its own, and one host serves the links to all targets.
const (
	firstPort      = 9001
	firstEntryHost = 10
	targetHost     = 9
	callerHost     = 200
)

// Environment is a test environment with a store, targets and entries. The run injects faults into all of them.
type Environment struct {
	Store       *rowstore.Store
	StoreLinks  []*link.Link // from each entry to the store, by the index of the entry
	CallerLinks []*link.Link // from the callers to each entry, by its index
	Entries     []*proc.Process

	dir            string
	server         *http.Server
	cancel         context.CancelFunc
	mu             sync.Mutex
	targets        map[string]*backend.Target // by name; targets that were removed stay, since the checks need their executions
	targetLinks    map[string]*link.Link      // from the entries to each target, by the target's name
	removed        map[string]bool
	limits         map[string]limit     // rate limits that targets have named, by the target's name
	leavingSince   map[string]time.Time // when the store accepted the registration that marks the target as leaving
	leftUnread     map[string]bool      // targets that announced their leaving while the store was disturbed
	configurations []configuration
	history        []history // of each entry, by its index
	storeDisturbed time.Time
	backups        []backup // of the last seconds, the oldest first
	operatorAway   bool     // the operator has not yet written again what a restore of the store lost
	stopped        bool     // whether no more targets may be added, which would keep their addresses from the next run
}

// limit is a rate limit that a target has named.
type limit struct {
	perSecond float64
	from      time.Time
}

// NewEnvironment builds the programs, starts the store, the targets and the entries, and waits until every entry serves.
func NewEnvironment(entries, targets int) (*Environment, error) {
	binaries, err := fleet.Build("")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := newEmptyEnvironment()
	e.dir, e.cancel = dir, cancel
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }() // returns when the server is closed
	for i := range targets {
		if _, err := e.AddTarget(ctx, []string{"lookups", "fees"}[i%2]); err != nil {
			return nil, err
		}
	}
	e.Configure()
	go e.renewRegistrations(ctx)
	go e.keepBackups(ctx)
	for i := range entries {
		if err := e.addEntry(i, binaries, netip.MustParseAddrPort(listener.Addr().String())); err != nil {
			return nil, err
		}
	}
	return e, e.awaitEntries()
}

func newEmptyEnvironment() *Environment {
	return &Environment{
		Store: &rowstore.Store{}, targets: map[string]*backend.Target{}, targetLinks: map[string]*link.Link{},
		removed: map[string]bool{}, leavingSince: map[string]time.Time{}, limits: map[string]limit{}, leftUnread: map[string]bool{},
	}
}

// address returns an address in a loopback network that is derived from the process id, so that concurrent runs can
// use the same ports.
func (e *Environment) address(host, port int) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(host)}), uint16(port))
}

func (e *Environment) dataCentre(n int) string {
	return fmt.Sprintf("dc-%d", n%dataCentres)
}

func (e *Environment) addEntry(i int, binaries string, store netip.AddrPort) error {
	var addresses [6]netip.AddrPort
	for n := range addresses {
		addresses[n] = e.address(firstEntryHost+i, firstPort+n)
	}
	storeLink, callerLink := &link.Link{From: addresses[4], To: store}, &link.Link{From: addresses[5], To: addresses[0]}
	for _, l := range []*link.Link{storeLink, callerLink} {
		if err := l.Start(); err != nil {
			return err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("entry-%d", i), "data-centre": e.dataCentre(i), "callers": map[string]any{"address": addresses[0]},
		"health-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3], "store-address": addresses[4],
		"leave-within": leaveTimeout.String(), "apply-within": applyTimeout.String(), "grace": gracePeriod.String(),
		"extra-ratio": extraRatio, "extra-slack": extraSlack, "probes-per-second": 1000, "memory-mib": 200,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(e.dir, fmt.Sprintf("entry-%d.json", i))
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	p := &proc.Process{
		Name: fmt.Sprintf("entry-%d", i), Binary: filepath.Join(binaries, "poplar-platform"), Args: []string{"--settings", file}, LogDir: e.dir,
	}
	e.history = append(e.history, history{disturbed: []time.Time{time.Now()}})
	e.StoreLinks, e.CallerLinks, e.Entries = append(e.StoreLinks, storeLink), append(e.CallerLinks, callerLink), append(e.Entries, p)
	return p.Start()
}

// awaitEntries waits until every entry serves a request.
func (e *Environment) awaitEntries() error {
	client := &http.Client{Timeout: time.Second}
	for _, callerLink := range e.CallerLinks {
		end := time.Now().Add(startTimeout)
		for status := 0; status != http.StatusOK; {
			if time.Now().After(end) {
				return errors.Newf("the entry at %s does not serve requests; the logs are in %s", callerLink.To, e.dir)
			}
			status, _ = send(client, callerLink.From, http.MethodGet, "/status/x", "ready")
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends the entries, links, targets and the store.
func (e *Environment) Stop() {
	e.cancel()
	for _, p := range e.Entries {
		p.Kill()
	}
	for _, l := range append(e.StoreLinks, e.CallerLinks...) {
		l.Cut()
	}
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	for name, t := range e.targets {
		t.Stop()
		e.targetLinks[name].Cut()
	}
}
