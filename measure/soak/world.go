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

// Times that the entries are told to keep, shorter than the users' so that a run meets them often.
const (
	LeaveWithin = time.Second
	applyWithin = time.Second
	grace       = 3 * time.Second
	beatEvery   = 200 * time.Millisecond
	startWait   = 10 * time.Second
	firstPort   = 9001
	slots       = 3
	workTime    = 10 * time.Millisecond
)

// World is a store, targets and entries; Store's and Targets' faults are set from outside.
type World struct {
	Store   *rowstore.Store
	Links   []*link.Link // from each entry to the store
	Entries []*proc.Process
	Callers []netip.AddrPort

	dir     string
	server  *http.Server
	cancel  context.CancelFunc
	mu      sync.Mutex
	targets map[string]*backend.Target // by name; those that have left stay, for their runs
	gone    map[string]bool
	left    map[string]time.Time // when the store took the word that the target leaves
	number  uint64
	touched []time.Time // when each entry was last started, stopped, paused or cut off
}

// NewWorld builds the program and starts everything.
func NewWorld(entries, targets int) (*World, error) {
	binaries, err := fleet.Build("")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &World{
		Store: &rowstore.Store{}, dir: dir, cancel: cancel,
		targets: map[string]*backend.Target{}, gone: map[string]bool{}, left: map[string]time.Time{},
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }() // ends when the server is closed
	for i := range targets {
		if _, err := w.Join(ctx, []string{"lookups", "fees"}[i%2]); err != nil {
			return nil, err
		}
	}
	w.Configure("/first/")
	go w.beat(ctx)
	for i := range entries {
		if err := w.addEntry(i, binaries, netip.MustParseAddrPort(listener.Addr().String())); err != nil {
			return nil, err
		}
	}
	return w, w.ready()
}

func (w *World) addEntry(i int, binaries string, store netip.AddrPort) error {
	// A loopback address of its own keeps the fixed ports of an entry apart from those of other runs.
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(10 + i)})
	var addresses [5]netip.AddrPort
	for n := range addresses {
		addresses[n] = netip.AddrPortFrom(host, uint16(firstPort+n))
	}
	toStore := &link.Link{From: addresses[4], To: store}
	if err := toStore.Start(); err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("entry-%d", i), "data-centre": "dc", "callers": map[string]any{"address": addresses[0]},
		"health-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3], "store-address": addresses[4],
		"leave-within": LeaveWithin.String(), "apply-within": applyWithin.String(), "grace": grace.String(),
		"extra-ratio": 0.2, "extra-slack": 50, "probes-per-second": 1000, "memory-mib": 200,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, fmt.Sprintf("entry-%d.json", i))
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	p := &proc.Process{
		Name: fmt.Sprintf("entry-%d", i), Binary: filepath.Join(binaries, "poplar-platform"), Args: []string{"--settings", file}, LogDir: w.dir,
	}
	w.touched = append(w.touched, time.Now())
	w.Links, w.Entries, w.Callers = append(w.Links, toStore), append(w.Entries, p), append(w.Callers, addresses[0])
	return p.Start()
}

// Disturb notes that an entry has been started, stopped, paused or cut off, or that this has ended.
func (w *World) Disturb(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touched[i] = time.Now()
}

// calm reports whether nothing has happened to an entry for that long.
func (w *World) calm(i int, long time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.touched[i]) > long
}

// Configure writes a configuration with one more route for lookups.
func (w *World) Configure(added string) {
	w.mu.Lock()
	w.number += 2
	number := w.number
	w.mu.Unlock()
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"hostname": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 1,
			"service": service, "maxAttempts": 2,
		}}
	}
	service := func(name string) map[string]any {
		return map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"healthCheck": "/health", "maxConns": 500,
		}}
	}
	data, err := json.Marshal(map[string]any{"configVersion": number, "resources": []any{
		route("lookup", "/status/", "safe", "lookups"), route("fee", "/fees/", "non_idempotent", "fees"),
		route("added", added, "safe", "lookups"),
		service("lookups"), service("fees"),
	}})
	if err == nil { // the value is made of plain types
		w.Store.Put("op", "config", data)
	}
}

// Join starts a target of the service.
func (w *World) Join(ctx context.Context, service string) (*backend.Target, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &backend.Target{Name: fmt.Sprintf("t-%d", len(w.targets)), Service: service, Slots: slots, Work: workTime}
	t.Crashed = func() {
		w.Crash(t)
		_, _ = w.Join(ctx, service) // the run goes on with fewer targets
	}
	if err := t.Start(ctx); err != nil {
		return nil, err
	}
	w.targets[t.Name] = t
	w.Store.Put("servers", t.Name, t.Registration())
	return t, nil
}

// Leave makes a target say that it leaves, and takes it away once no request may reach it any more.
func (w *World) Leave(t *backend.Target) {
	t.Leave()
	w.Store.Put("servers", t.Name, t.Registration())
	w.mu.Lock()
	w.left[t.Name] = time.Now()
	w.mu.Unlock()
	time.AfterFunc(3*LeaveWithin, func() { w.end(t) })
}

// Crash ends a target without a word; its registration lapses later.
func (w *World) Crash(t *backend.Target) {
	t.Stop()
	time.AfterFunc(3*beatEvery, func() { w.end(t) })
}

func (w *World) end(t *backend.Target) {
	w.mu.Lock()
	w.gone[t.Name] = true
	w.mu.Unlock()
	t.Stop()
	w.Store.Put("servers", t.Name, nil)
}

// Targets returns the targets that have neither left nor been told to.
func (w *World) Targets(service string) []*backend.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*backend.Target
	for name, t := range w.targets {
		if _, leaving := w.left[name]; t.Service == service && !leaving && !w.gone[name] {
			list = append(list, t)
		}
	}
	return list
}

// beat keeps the registrations alive.
func (w *World) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(beatEvery)
		for _, service := range []string{"lookups", "fees"} {
			for _, t := range w.Targets(service) {
				w.Store.Put("servers", t.Name, t.Registration())
			}
		}
	}
}

// ready waits until every entry serves.
func (w *World) ready() error {
	client := &http.Client{Timeout: time.Second}
	for _, address := range w.Callers {
		end := time.Now().Add(startWait)
		for status := 0; status != http.StatusOK; {
			if time.Now().After(end) {
				return errors.Newf("the entry at %s does not serve; the logs are in %s", address, w.dir)
			}
			status, _ = send(client, address, http.MethodGet, "/status/x", "ready")
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends everything that was started.
func (w *World) Stop() {
	w.cancel()
	for _, p := range w.Entries {
		p.Kill()
	}
	for _, l := range w.Links {
		l.Cut()
	}
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.Stop()
	}
}
