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

// Fleet is a platform, targets and entries that run as processes.
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

// Start builds the programs and starts the processes of the plan. It returns when every entry is ready and connected
// to its peers.
func Start(p plan.Plan) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "fleet-")
	if err != nil {
		return nil, err
	}
	binaries, err := Build(p.Tags)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Plan:     p,
		Dir:      dir,
		HTTP:     &http.Client{Timeout: 30 * time.Second},
		binaries: binaries,
		host:     loopbackHost(),
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// loopbackHost returns a host in a loopback network that is derived from the process id, so that no other program
// takes its ports.
func loopbackHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(10 + pid/250%200), byte(1 + pid%250), 1})
}

// address returns a port at the n-th host of the fleet's network.
func (f *Fleet) address(n, port int) netip.AddrPort {
	octets := f.host.As4()
	octets[3] = byte(n + 1)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(port))
}

// Build compiles the programs with the build tags, and returns the folder with the binaries.
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

// moduleRoot returns the folder of go.work, which is the working directory or one above it.
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

// connected reports whether every entry receives heartbeats from every other one.
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

// Await waits until the condition holds. After startTimeout it returns an error with the given description of the
// condition.
func (f *Fleet) Await(what string, condition func() bool) error {
	return f.AwaitWithin(what, startTimeout, condition)
}

// AwaitWithin is like Await with the given limit.
func (f *Fleet) AwaitWithin(what string, limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return errors.Newf("%s: condition does not hold after %v (logs in %s)", what, limit, f.Dir)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Stop ends every process. It deletes the logs unless an entry violated an invariant.
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
	if len(f.InvariantViolations()) == 0 {
		_ = os.RemoveAll(f.Dir)
	}
}

// InvariantViolations returns the lines of the entries' logs that report violated invariants, panics or data races.
func (f *Fleet) InvariantViolations() []string {
	var violations []string
	for _, e := range f.Entries {
		if e.process == nil {
			continue
		}
		for line := range strings.Lines(e.process.Log()) {
			if strings.Contains(line, "invariant: ") || strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
				violations = append(violations, e.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return violations
}

type wireVM struct {
	Name       string `json:"name"`
	Peer       string `json:"peer"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

// ListVMs writes the list of entries to the platform. Each entry gets a list of its own, with the addresses at which
// it must reach the others: those of its proxies, if the plan has any.
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

// Platform sets the fault of one part of the platform, which is table, objects or vms.
func (f *Fleet) Platform(part string, fault trouble.Platform) error {
	return f.control(http.MethodPut, "/control/fault/"+part, fault)
}

// PlatformCounts returns the numbers of reads and writes that the platform has served.
func (f *Fleet) PlatformCounts() (reads, writes int64, err error) {
	var counts map[string]int64
	err = f.getJSON(f.PlatformURL()+"/control/counts", &counts)
	return counts["reads"], counts["writes"], err
}

// PlatformURL returns the URL of the platform itself, without a proxy.
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
	response, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s responded with status %d", url, response.StatusCode)
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
	response, err := f.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s responded with status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// Put writes the records with poplarctl through the first entry. It fails at the first record for which poplarctl's
// exit code is not zero.
func (f *Fleet) Put(records ...string) error {
	for i, text := range records {
		file := filepath.Join(f.Dir, "record-"+strconv.Itoa(i)+".jsonc")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		if output, code := f.Ctl(f.Entries[0], "record", "put", file); code != 0 {
			return errors.Newf("put record: poplarctl ended with exit code %d: %s", code, output)
		}
	}
	return nil
}

// Ctl runs poplarctl with an entry, and returns its output and exit code. The code is -1 if poplarctl could not be run.
func (f *Fleet) Ctl(e *Entry, args ...string) (output string, code int) {
	arguments := append([]string{"--entry", e.OperatorURL(), "--operator", "harness"}, args...)
	if f.Plan.TokenFile != "" {
		arguments = append([]string{"--token-file", f.Plan.TokenFile}, arguments...)
	}
	command := exec.CommandContext(context.Background(), filepath.Join(f.binaries, "poplarctl"), arguments...)
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

// InForce waits until every running entry has the revision in force, and returns the elapsed time.
func (f *Fleet) InForce(revision uint64, limit time.Duration) (time.Duration, error) {
	started := time.Now()
	err := f.AwaitWithin(fmt.Sprintf("revision %d in force everywhere", revision), limit, func() bool {
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
	return time.Since(started), err
}

// newLink starts a proxy on a port in the fleet's network.
func (f *Fleet) newLink(port int, to netip.AddrPort) (*link.Link, error) {
	l := &link.Link{From: f.address(200, port), To: to}
	return l, l.Start()
}
