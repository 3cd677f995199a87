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
	workTime    = 10 * time.Millisecond
)

// The fleet, and the budget of extra attempts that it is told to keep.
const (
	dataCentres = 2
	slots       = 3
	extraRatio  = 0.2
	extraSlack  = 20
)

// Addresses on loopback: a host for each entry, and one for the paths to targets.
const (
	firstPort  = 9001
	firstHost  = 10
	targetHost = 9
)

// World is a store, targets and entries; Store's and Targets' faults are set from outside.
type World struct {
	Store   *rowstore.Store
	Links   []*link.Link // from each entry to the store
	Fronts  []*link.Link // from the callers to each entry
	Entries []*proc.Process

	dir          string
	server       *http.Server
	cancel       context.CancelFunc
	mu           sync.Mutex
	targets      map[string]*backend.Target // by name; those that have left stay, for their runs
	paths        map[string]*link.Link      // from the entries to each target
	gone         map[string]bool
	left         map[string]time.Time // when the store took the word that the target leaves
	configured   []configured
	history      []history // of each entry
	storeTouched time.Time
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
	w := emptyWorld()
	w.dir, w.cancel = dir, cancel
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
	w.Configure()
	go w.beat(ctx)
	for i := range entries {
		if err := w.addEntry(i, binaries, netip.MustParseAddrPort(listener.Addr().String())); err != nil {
			return nil, err
		}
	}
	return w, w.ready()
}

func emptyWorld() *World {
	return &World{
		Store: &rowstore.Store{}, targets: map[string]*backend.Target{}, paths: map[string]*link.Link{},
		gone: map[string]bool{}, left: map[string]time.Time{},
	}
}

// address returns one of a network of this process's own, so that other runs can use the same ports.
func (w *World) address(host, port int) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(host)}), uint16(port))
}

func (w *World) dataCentre(n int) string {
	return fmt.Sprintf("dc-%d", n%dataCentres)
}

func (w *World) addEntry(i int, binaries string, store netip.AddrPort) error {
	var addresses [6]netip.AddrPort
	for n := range addresses {
		addresses[n] = w.address(firstHost+i, firstPort+n)
	}
	toStore, front := &link.Link{From: addresses[4], To: store}, &link.Link{From: addresses[5], To: addresses[0]}
	for _, l := range []*link.Link{toStore, front} {
		if err := l.Start(); err != nil {
			return err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("entry-%d", i), "data-centre": w.dataCentre(i), "callers": map[string]any{"address": addresses[0]},
		"health-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3], "store-address": addresses[4],
		"leave-within": LeaveWithin.String(), "apply-within": applyWithin.String(), "grace": grace.String(),
		"extra-ratio": extraRatio, "extra-slack": extraSlack, "probes-per-second": 1000, "memory-mib": 200,
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
	w.history = append(w.history, history{touched: []time.Time{time.Now()}})
	w.Links, w.Fronts, w.Entries = append(w.Links, toStore), append(w.Fronts, front), append(w.Entries, p)
	return p.Start()
}

// ready waits until every entry serves.
func (w *World) ready() error {
	client := &http.Client{Timeout: time.Second}
	for _, front := range w.Fronts {
		end := time.Now().Add(startWait)
		for status := 0; status != http.StatusOK; {
			if time.Now().After(end) {
				return errors.Newf("the entry at %s does not serve; the logs are in %s", front.To, w.dir)
			}
			status, _ = send(client, front.From, http.MethodGet, "/status/x", "ready")
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
	for _, l := range append(w.Links, w.Fronts...) {
		l.Cut()
	}
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, t := range w.targets {
		t.Stop()
		w.paths[name].Cut()
	}
}
