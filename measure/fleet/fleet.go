package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/measure/link"
	"poplarworks/measure/plan"
	"poplarworks/measure/proc"
	"poplarworks/measure/trouble"
)

const (
	platformPort = 7000
	controlPort  = 8000
	targetPort   = 8001
	callerPort   = 9000
	operatorPort = 9100
	peerPort     = 9200
	proxyPort    = 9300
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Fleet is everything that was started.
type Fleet struct {
	Plan    plan.Plan
	Dir     string // for settings and logs
	Entries []*Entry
	Groups  []*Targets
	HTTP    *http.Client

	binaries string
	platform *proc.Process
	host     netip.Addr
}

// Start builds the programs and starts what the plan says; it returns when every entry is ready.
func Start(wanted plan.Plan) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "fleet-")
	if err != nil {
		return nil, err
	}
	binaries, err := Build(wanted.Tags)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Plan:     wanted,
		Dir:      dir,
		HTTP:     &http.Client{Timeout: 30 * time.Second},
		binaries: binaries,
		host:     ownHost(),
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// ownHost gives each harness a loopback network of its own, so that no port can be taken by another program.
func ownHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(10 + pid/250%200), byte(1 + pid%250), 1})
}

// address returns the n-th host of the network with a port.
func (f *Fleet) address(n, port int) netip.AddrPort {
	bytes := f.host.As4()
	bytes[3] = byte(n + 1)
	return netip.AddrPortFrom(netip.AddrFrom4(bytes), uint16(port))
}

// Build compiles the programs, with build tags if any, and returns the folder that holds them.
func Build(tags string) (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	folder := filepath.Join(root, "bin", tags)
	for name, module := range map[string]string{"poplar-entry": "entry", "poplarctl": "ctl", "poplar-standin": "standin", "poplar-platform": "platform"} {
		command := exec.CommandContext(context.Background(), "go", "build", "-tags", tags, "-o", filepath.Join(folder, name), "./"+module)
		command.Dir = root
		if output, err := command.CombinedOutput(); err != nil {
			return "", errors.Wrapf(err, "build %s: %s", name, output)
		}
	}
	return folder, nil
}

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("go.work not found above the working directory")
		}
		dir = filepath.Dir(dir)
	}
}

func (f *Fleet) start() error {
	f.platform = f.process("platform", "poplar-standin", "platform",
		"--address", f.address(0, platformPort).String(), "--vm-list-lag", f.Plan.VMListLag.String())
	if err := f.platform.Start(); err != nil {
		return err
	}
	for i, group := range f.Plan.Groups {
		targets := newTargets(f, i, group)
		f.Groups = append(f.Groups, targets)
		if err := targets.process.Start(); err != nil {
			return err
		}
	}
	for i := range f.Plan.Entries {
		e, err := newEntry(f, i)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, e)
	}
	if err := f.Await("the platform", func() bool { return f.ListVMs() == nil }); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := f.Await(e.Name, e.Ready); err != nil {
			return err
		}
	}
	return f.Await("the peers", f.connected)
}

// connected reports whether every entry hears every other one.
func (f *Fleet) connected() bool {
	for _, e := range f.Entries {
		status, err := e.Status()
		if err != nil || len(status.Peers) != len(f.Entries)-1 {
			return false
		}
		for _, p := range status.Peers {
			if p.State != "alive" {
				return false
			}
		}
	}
	return true
}

func (f *Fleet) process(name, binary string, args ...string) *proc.Process {
	return &proc.Process{Name: name, Binary: filepath.Join(f.binaries, binary), Args: args, LogDir: f.Dir}
}

// Await waits until the condition holds, or returns an error that names what did not come.
func (f *Fleet) Await(what string, condition func() bool) error {
	return f.AwaitFor(what, startTimeout, condition)
}

// AwaitFor is Await with a limit.
func (f *Fleet) AwaitFor(what string, limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return errors.Newf("%s: not within %v (logs in %s)", what, limit, f.Dir)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Stop ends every process; the logs stay when any entry breached an invariant.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.stop()
	}
	for _, g := range f.Groups {
		if g.process != nil {
			g.process.Kill()
		}
	}
	if f.platform != nil {
		f.platform.Kill()
	}
	if len(f.Breaches()) == 0 {
		_ = os.RemoveAll(f.Dir)
	}
}

// Breaches returns the invariants that entries saw broken, from their logs.
func (f *Fleet) Breaches() []string {
	var breaches []string
	for _, e := range f.Entries {
		if e.process == nil {
			continue
		}
		for line := range strings.Lines(e.process.Log()) {
			if strings.Contains(line, "invariant: ") || strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
				breaches = append(breaches, e.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return breaches
}

type wireVM struct {
	Name       string `json:"name"`
	Peer       string `json:"peer"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

// ListVMs tells the platform which entries there are, to each entry by the addresses that it is to use.
func (f *Fleet) ListVMs() error {
	for i, reader := range f.Entries {
		var list []wireVM
		for j, e := range f.Entries {
			if e.Gone {
				continue
			}
			peer := e.PeerAddress
			if f.Plan.PeerProxies && i != j {
				peer = reader.PeerLinks[j].From
			}
			list = append(list, wireVM{Name: e.Name, Peer: peer.String(), DataCentre: e.DataCentre})
		}
		if err := f.control(http.MethodPut, "/control/vms/"+reader.Name, list); err != nil {
			return err
		}
	}
	return nil
}

// Platform sets the fault of a part of the platform: table, objects or vms.
func (f *Fleet) Platform(part string, fault trouble.Platform) error {
	return f.control(http.MethodPut, "/control/fault/"+part, fault)
}

// PlatformCounts returns the reads and writes that the platform has served.
func (f *Fleet) PlatformCounts() (reads, writes int64, err error) {
	var counts map[string]int64
	err = f.getJSON(f.PlatformURL()+"/control/counts", &counts)
	return counts["reads"], counts["writes"], err
}

// PlatformURL returns the address of the platform itself, past any proxy.
func (f *Fleet) PlatformURL() string {
	return "http://" + f.address(0, platformPort).String()
}

func (f *Fleet) control(method, path string, body any) error {
	return f.sendJSON(method, f.PlatformURL()+path, body)
}

func (f *Fleet) sendJSON(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(string(data)))
	if err != nil {
		return err
	}
	answer, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %d", url, answer.StatusCode)
	}
	return nil
}

func (f *Fleet) getJSON(url string, into any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	if f.Plan.TokenFile != "" {
		token, err := os.ReadFile(f.Plan.TokenFile)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	answer, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %d", url, answer.StatusCode)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// Put writes records, each as text, through the first entry, with poplarctl's exit code as the verdict.
func (f *Fleet) Put(records ...string) error {
	for i, text := range records {
		file := filepath.Join(f.Dir, "record-"+strconv.Itoa(i)+".jsonc")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		if output, code := f.Ctl(f.Entries[0], "record", "put", file); code != 0 {
			return errors.Newf("put: exit code %d: %s", code, output)
		}
	}
	return nil
}

// Ctl runs poplarctl against an entry and returns its output and exit code.
func (f *Fleet) Ctl(e *Entry, args ...string) (output string, code int) {
	all := append([]string{"--entry", e.OperatorURL(), "--operator", "harness"}, args...)
	if f.Plan.TokenFile != "" {
		all = append([]string{"--token-file", f.Plan.TokenFile}, all...)
	}
	command := exec.CommandContext(context.Background(), filepath.Join(f.binaries, "poplarctl"), all...)
	data, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(data), exit.ExitCode()
	}
	if err != nil {
		return err.Error(), -1
	}
	return string(data), 0
}

// InForce waits until every running entry has the revision in force, and returns how long it took.
func (f *Fleet) InForce(revision uint64, limit time.Duration) (time.Duration, error) {
	begun := time.Now()
	err := f.AwaitFor(fmt.Sprintf("revision %d in force everywhere", revision), limit, func() bool {
		for _, e := range f.Entries {
			if e.Gone || e.Paused {
				continue
			}
			status, err := e.Status()
			if err != nil || status.Revision < revision {
				return false
			}
		}
		return true
	})
	return time.Since(begun), err
}

// newLink starts a proxy on a port of the harness's own.
func (f *Fleet) newLink(port int, to netip.AddrPort) (*link.Link, error) {
	l := &link.Link{From: f.address(200, port), To: to}
	return l, l.Start()
}
