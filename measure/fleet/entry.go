package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"poplarworks/measure/entrystatus"
	"poplarworks/measure/link"
	"poplarworks/measure/proc"
)

// Entry is one entry of the fleet, with its process and the links from it.
type Entry struct {
	Name        string
	DataCentre  string
	CallerURL   string
	PeerAddress netip.AddrPort
	PeerLinks   map[int]*link.Link // by the index of the peer; empty unless the plan has peer proxies
	StoreLink   *link.Link         // nil unless the plan has store proxies
	Paused      bool
	Gone        bool

	fleet    *Fleet
	index    int
	operator netip.AddrPort
	caller   netip.AddrPort
	process  *proc.Process
}

// newEntry starts the entry's links and writes its settings. It does not start the process.
func newEntry(f *Fleet, i int) (*Entry, error) {
	host := 1 + i
	e := &Entry{
		Name:        fmt.Sprintf("entry-%d", i+1),
		DataCentre:  dataCentres()[i%len(dataCentres())],
		PeerAddress: f.address(host, peerPort),
		PeerLinks:   map[int]*link.Link{},
		fleet:       f,
		index:       i,
		operator:    f.address(host, operatorPort),
		caller:      f.address(host, callerPort),
	}
	e.CallerURL = "http://" + e.caller.String()
	if err := e.startLinks(); err != nil {
		return nil, err
	}
	file := filepath.Join(f.Dir, e.Name+".jsonc")
	if err := os.WriteFile(file, []byte(e.settings()), 0o600); err != nil {
		return nil, err
	}
	e.process = f.process(e.Name, "poplar-entry", "--settings", file)
	if f.Plan.Cores > 0 {
		e.process.Env = []string{fmt.Sprintf("GOMAXPROCS=%d", f.Plan.Cores)}
	}
	return e, nil
}

func dataCentres() []string {
	return []string{"ikeja", "lekki", "ibadan"}
}

// startLinks starts the proxies that the plan puts between the entry and the platform and its peers.
func (e *Entry) startLinks() error {
	f := e.fleet
	base := proxyPort + e.index*64
	if f.Plan.StoreProxies {
		l, err := f.newLink(base+63, f.address(0, platformPort))
		if err != nil {
			return err
		}
		e.StoreLink = l
	}
	if !f.Plan.PeerProxies {
		return nil
	}
	for j := range f.Plan.Entries {
		if j == e.index {
			continue
		}
		l, err := f.newLink(base+j, f.address(1+j, peerPort))
		if err != nil {
			return err
		}
		e.PeerLinks[j] = l
	}
	return nil
}

// settings returns the text of the entry's settings.
func (e *Entry) settings() string {
	f := e.fleet
	platform := f.PlatformURL()
	if e.StoreLink != nil {
		platform = "http://" + e.StoreLink.From.String()
	}
	var text strings.Builder
	field := func(format string, args ...any) { fmt.Fprintf(&text, "  "+format+",\n", args...) }
	text.WriteString("{\n")
	field(`"name": %q, "data-centre": %q`, e.Name, e.DataCentre)
	field(`"assert-invariants": %t`, !f.Plan.DisableAssertions)
	field(`"log-level": %q`, orDefault(f.Plan.LogLevel, "info"))
	if f.Plan.Picker != "" {
		field(`"picker": %q`, f.Plan.Picker)
	}
	if f.Plan.Choices > 0 {
		field(`"choices": %d`, f.Plan.Choices)
	}
	for _, g := range f.Groups {
		if g.Group.Name == f.Plan.OracleGroup {
			field(`"oracle-url": %q`, g.controlURL())
		}
	}
	connections := f.Plan.MaxConnections
	if connections == 0 {
		connections = 10_000
	}
	field(`"callers": {"address": %q, "max-connections": %d}`, e.caller, connections)
	if f.Plan.TokenFile != "" {
		field(`"operators": {"address": %q, "token-file": %q}`, e.operator, f.Plan.TokenFile)
	} else {
		field(`"operators": {"address": %q}`, e.operator)
	}
	field(`"peers": {"address": %q}`, e.PeerAddress)
	field(`"platform": {"table-url": %q, "objects-url": %q, "vms-url": %q}`, platform, platform, platform+"/vms/"+e.Name)
	grace := f.Plan.DrainGrace
	if grace == 0 {
		grace = 300 * time.Millisecond
	}
	field(`"drain": {"grace": %q}`, grace)
	text.WriteString(f.Plan.ExtraSettings)
	text.WriteString("}\n")
	return text.String()
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// Start starts the process. Each start of the same entry is a new incarnation.
func (e *Entry) Start() error {
	e.Gone, e.Paused = false, false
	return e.process.Start()
}

// Ready reports whether the entry accepts callers.
func (e *Entry) Ready() bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, e.OperatorURL()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := e.fleet.HTTP.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// OperatorURL returns the base URL of the operator API.
func (e *Entry) OperatorURL() string {
	return "http://" + e.operator.String()
}

// Status queries the entry's summary.
func (e *Entry) Status() (entrystatus.Status, error) {
	var status entrystatus.Status
	err := e.fleet.getJSON(e.OperatorURL()+"/v1/status", &status)
	return status, err
}

// Metric returns a field of a metric, or zero if the entry does not respond or has no such metric.
func (e *Entry) Metric(name, field string) float64 {
	var metrics map[string]map[string]float64
	if err := e.fleet.getJSON(e.OperatorURL()+"/v1/metrics", &metrics); err != nil {
		return 0
	}
	return metrics[name][field]
}

// Dump decodes the entry's state into a value.
func (e *Entry) Dump(into any) error {
	return e.fleet.getJSON(e.OperatorURL()+"/v1/dump", into)
}

// Process returns the entry's process.
func (e *Entry) Process() *proc.Process {
	return e.process
}

// Kill ends the process without warning.
func (e *Entry) Kill() {
	e.process.Kill()
}

// Pause suspends the process.
func (e *Entry) Pause() {
	e.Paused = true
	e.process.Signal(syscall.SIGSTOP)
}

// Resume continues a process that is paused.
func (e *Entry) Resume() {
	e.Paused = false
	e.process.Signal(syscall.SIGCONT)
}

// Terminate asks for a planned stop, and reports whether the process ended within the limit.
func (e *Entry) Terminate(limit time.Duration) bool {
	e.process.Signal(syscall.SIGTERM)
	return e.process.Wait(limit)
}

// stop ends the process and cuts the links.
func (e *Entry) stop() {
	if e.process == nil {
		return
	}
	e.process.Signal(syscall.SIGCONT)
	e.process.Kill()
	for _, l := range e.PeerLinks {
		l.Cut()
	}
	if e.StoreLink != nil {
		e.StoreLink.Cut()
	}
}
