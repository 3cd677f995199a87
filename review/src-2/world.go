package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds as the site files of the small deployments have them.
const (
	stableTime    = 3 * time.Second
	drainTime     = 2 * time.Second
	applyTime     = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
)

// world holds the stand-ins and the entries of one case.
type world struct {
	trouble bool
	root    string
	dir     string // temporary
	net     [2]byte
	store   *store
	entries []*entry
	started time.Time

	mu      sync.Mutex
	hosts   int
	servers int
	runs    []run
	sends   []send
	crashes []run // those that crashed their server
	ended   bool
	record  *bufio.Writer
	sentVia map[string]string // names of the entries, by the ids of the requests that clients sent to them
}

// send is one request of a client and what came of it.
type send struct {
	id, entry, path string
	at, answeredAt  time.Time
	status          int // zero without a complete answer
	signed, whole   bool
	leaving         bool // the answer bore Server-Leaving
	server          string
	err             string
}

func newWorld(root string, record io.Writer, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{root: root, dir: dir, trouble: trouble, started: time.Now(), record: bufio.NewWriter(record)}
	w.net = [2]byte{byte(70 + pid>>8&31), byte(pid)}
	w.store, w.sentVia = newStore(), map[string]string{}
	return w, nil
}

// newHost returns the address of another machine in a loopback network of this process.
func (w *world) newHost() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", w.net[0], w.net[1], w.hosts)
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

func (w *world) reached(r run) {
	verb := "turns away"
	if r.ran {
		verb = "runs"
	}
	w.mu.Lock()
	r.entry = w.sentVia[r.id]
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.logf("server %s (%s) %s %s from %s", r.server, r.service, verb, r.id, r.entry)
}

// addServer starts a server with a new id and address.
func (w *world) addServer(s *server) *server {
	w.mu.Lock()
	w.servers++
	s.id = fmt.Sprintf("i-%s-%d", s.service, w.servers)
	w.mu.Unlock()
	s.w, s.ip = w, w.newHost()
	if err := s.start(); err != nil {
		w.fail(err)
	}
	return s
}

type couldNotRun struct{ err error }

func (w *world) fail(err error) { panic(couldNotRun{err}) }

// entry is one machine with the project's program.
type entry struct {
	w              *world
	name, zone, ip string
	front, ready   string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// newEntry fills in the settings template as the platform does.
func (w *world) newEntry(name, zone string, newFleet bool) *entry {
	e := &entry{w: w, name: name, zone: zone, ip: w.newHost()}
	ports := w.freePorts(e.ip, 4)
	e.front, e.ready = fmt.Sprintf("%s:%d", e.ip, ports[0]), fmt.Sprintf("%s:%d", e.ip, ports[1])
	storeAddress, err := w.store.listen(w.newHost(), name)
	if err != nil {
		w.fail(err)
	}
	values := map[string]any{
		"nodeId": name, "zone": zone, "ip": e.ip, "listen.front": e.front, "listen.ready": e.ready,
		"internalPorts.0": ports[2], "internalPorts.1": ports[3], "bootstrap": newFleet, "provider.address": storeAddress,
		"bounds.drainMs": drainTime.Milliseconds(), "bounds.configApplyMs": applyTime.Milliseconds(), "bounds.graceS": 6,
		"bounds.budgetRatio": 0.2, "bounds.budgetSlack": 56, "bounds.probesPerS": 60, "limits.linkMbps": 1000, "limits.memoryMb": 284,
	}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/settings.tmpl"))
	if err != nil {
		w.fail(err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		key, asJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		value, ok := values[key]
		if !ok {
			w.fail(fmt.Errorf("no value for %s", p))
		}
		if asJSON {
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
	e.settings = filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		w.fail(err)
	}
	w.entries = append(w.entries, e)
	e.start()
	return e
}

func (w *world) freePorts(ip string, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			w.fail(err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// start runs the command of the deploy file with the path of this machine's settings.
func (e *entry) start() {
	deploy, err := os.ReadFile(filepath.Join(e.w.root, "deploy/system.toml"))
	if err != nil {
		e.w.fail(err)
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(string(deploy))
	if command == nil {
		e.w.fail(fmt.Errorf("deploy/system.toml has no command"))
	}
	args := strings.Fields(strings.ReplaceAll(command[1], "/etc/poplarworks/local.toml", e.settings))
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.w.fail(err)
	}
	e.cmd = exec.Command(filepath.Join(e.w.root, args[0]), args[1:]...)
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = e.w.root, log, log
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POPLARWORKS_CONFIG=" + e.settings}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		e.w.fail(err)
	}
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		e.w.logf("process of %s has ended", e.name)
		close(exited)
	}()
	e.w.logf("process of %s starts", e.name)
}

func (e *entry) signal(s syscall.Signal) {
	e.w.logf("signal %v to %s", s, e.name)
	_ = e.cmd.Process.Signal(s)
}

// awaitReady waits until the readiness check of the entry answers 200.
func (e *entry) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		if got, err := client.Get("http://" + e.ready + "/api/readiness"); err == nil {
			_ = got.Body.Close()
			if got.StatusCode == http.StatusOK {
				e.w.logf("%s is ready", e.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.w.fail(fmt.Errorf("%s does not become ready; its log: %s", e.name, filepath.Join(e.w.dir, e.name+".log")))
}

func newID(prefix string) string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return prefix + "-" + hex.EncodeToString(b[:])
}

// newClient returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// request sends one request of a client and records what comes of it.
func (w *world) request(client *http.Client, e *entry, method, path, id string, body io.Reader, deadline time.Duration) send {
	return w.do(client, e, method, path, id, body, -1, deadline, deadline)
}

// upload sends a POST with a body of known length.
func (w *world) upload(client *http.Client, e *entry, id string, body io.Reader, length int64) send {
	return w.do(client, e, http.MethodPost, "/uploads/build", id, body, length, 3*time.Second, 3*time.Second)
}

func (w *world) do(client *http.Client, e *entry, method, path, id string, body io.Reader, length int64, deadline, patience time.Duration) send {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := send{id: id, entry: e.name, path: path, at: time.Now()}
	w.mu.Lock()
	w.sentVia[id] = e.name
	w.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, body)
	if err != nil {
		w.fail(err)
	}
	r.Host = "desk.example"
	if length >= 0 {
		r.ContentLength = length
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	got, err := client.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(got.Body)
		_ = got.Body.Close()
		if err == nil {
			s.status, s.signed = got.StatusCode, got.Header.Get("X-Response-Signature") == "signed."+id
			s.whole, s.leaving = string(data) == answerTo(id), got.Header.Get("Server-Leaving") != ""
		}
	}
	if err != nil {
		s.err = err.Error()
	}
	s.answeredAt = time.Now()
	w.mu.Lock()
	w.sends = append(w.sends, s)
	w.mu.Unlock()
	leaving := ""
	if s.leaving {
		leaving = " with Server-Leaving"
	}
	w.logf("client's %s %s via %s, sent %.3f: %d%s %s", id, path, e.name, s.at.Sub(w.started).Seconds(), s.status, leaving, s.err)
	return s
}

// traffic sends requests at a steady rate through the entries in turn until the context ends.
func (w *world) traffic(ctx context.Context, group *sync.WaitGroup, method, path, prefix string, perSecond int, entries ...*entry) {
	group.Add(1)
	go func() {
		defer group.Done()
		client := newClient()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			e := entries[n%len(entries)]
			group.Add(1)
			go func() {
				defer group.Done()
				var body io.Reader
				if method == http.MethodPost {
					body = strings.NewReader("amount=1")
				}
				w.request(client, e, method, path, newID(prefix), body, 3*time.Second)
			}()
		}
	}()
}

// close ends all processes and writes the record to its end.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, s := range w.store.servers {
		_ = s.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// route and configuration are what the operator writes.
type route struct {
	name, prefix, kind, service string
	timeoutMs, maxAttempts      int
}

func configuration(version int, services []string, routes ...route) []byte {
	var resources []any
	for _, r := range routes {
		spec := map[string]any{
			"hostname": "desk.example", "prefix": r.prefix, "kind": r.kind, "targetLatencyMs": 400, "priority": 1,
			"service": r.service, "maxAttempts": r.maxAttempts,
		}
		if r.timeoutMs > 0 {
			spec["timeoutMs"] = r.timeoutMs
		}
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": r.name}, "spec": spec})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"healthCheck": healthPath, "maxConns": 220, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}})
	text, _ := json.Marshal(map[string]any{"configVersion": version, "resources": resources})
	return text
}
