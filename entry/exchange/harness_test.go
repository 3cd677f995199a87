package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/answer"
	"poplarworks/core/balancer"
	"poplarworks/core/catalog"
	"poplarworks/core/code"
	"poplarworks/core/invariant"
	"poplarworks/core/powerofd"
	"poplarworks/core/quarantine"
	"poplarworks/core/recordformat"
	"poplarworks/entry/buffers"
	"poplarworks/entry/claims"
	"poplarworks/entry/common"
	"poplarworks/entry/crashes"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/headers"
	"poplarworks/entry/settings"
	"poplarworks/entry/sockets"
	"poplarworks/entry/target"
)

// harness runs a handler between a test's client and its targets, in one process.
type harness struct {
	t       *testing.T
	url     string
	client  *http.Client
	handler *Handler
	claims  *fakeClaims
	catalog *catalog.Catalog
	crashed atomic.Bool // whether a check finds that a target has crashed
}

func (h *harness) Catalog() *catalog.Catalog { return h.catalog }

// fakeClaims grants every claim, unless result holds an answer or a code to refuse it with.
type fakeClaims struct {
	result  claims.Result
	lookup  claims.Result
	settled []*claims.Ticket
	stored  []*answer.Answer
}

func (f *fakeClaims) Claim(_ context.Context, t *claims.Ticket) claims.Result {
	t.Machine.Write()
	if f.result.Code != code.OK || f.result.Answer != nil {
		t.Machine.Yield()
		return f.result
	}
	t.Machine.Granted()
	return claims.Result{Granted: true}
}

func (f *fakeClaims) Lookup(context.Context, *claims.Ticket) claims.Result { return f.lookup }

func (f *fakeClaims) RecordOutcome(t *claims.Ticket, stored *answer.Answer) {
	f.settled = append(f.settled, t)
	f.stored = append(f.stored, stored)
}

const testRules = `{"schema": 2, "kind": "rule", "name": "lookup", "service": "s", "match": {"path-prefix": "/status"},
	"idempotent": true, "deadline": "2s", "not-run-statuses": [503], "retry": {"ratio": 1}, "limits": {"body-bytes": 100000, "answer-bytes": 65536}}
---
{"schema": 2, "kind": "rule", "name": "convert", "service": "s", "match": {"methods": ["POST"], "path-prefix": "/convert"},
	"deadline": "5s", "idempotency-key": {"required": false}, "limits": {"body-bytes": 8388608, "answer-bytes": 65536}}
---
{"schema": 2, "kind": "rule", "name": "vault", "service": "s", "match": {"host": "vault.example", "path-prefix": "/vault"},
	"idempotent": true, "deadline": "2s"}
---
{"schema": 2, "kind": "rule", "name": "report", "service": "s", "match": {"path-prefix": "/reports"},
	"idempotent": true, "deadline": "5s", "limits": {"answer-bytes": 1048576}}
---
{"schema": 2, "kind": "rule", "name": "build", "service": "s", "match": {"path-prefix": "/builds"},
	"idempotent": true, "class": "long", "deadline": "5s", "retry": {"ratio": 1}, "limits": {"body-bytes": 10000000}}
---
{"schema": 2, "kind": "rule", "name": "fee", "service": "s", "match": {"methods": ["POST"], "path-prefix": "/fees"},
	"deadline": "2s", "not-run-statuses": [503], "retry": {"ratio": 1}, "limits": {"body-bytes": 1000}}
---
{"schema": 2, "kind": "rule", "name": "note", "service": "s", "match": {"methods": ["POST"], "path-prefix": "/notes"},
	"deadline": "2s", "idempotency-key": {"required": false}, "not-run-statuses": [503]}`

func newHarness(t *testing.T, targets ...http.HandlerFunc) *harness {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := &common.Common{
		Settings: settings.Settings{
			Name: "entry-1", MaxHeaderBytes: 8 << 10, BodyTimeout: time.Second, ResponseWriteTimeout: time.Second,
			CallerIdentityHeader: "Studio",
		},
		Logger:  logger,
		Metrics: metrics.NewRegistry(),
		Check:   &invariant.Checker{Fail: func(breach string) { t.Error("invariant: " + breach) }},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	directory := &dispatch.Directory{Common: c, NewPicker: func(random *rand.Rand) balancer.Picker {
		return &powerofd.Picker{Choices: 3, Random: random}
	}}
	directory.Start()
	h := &harness{t: t, client: &http.Client{Transport: &http.Transport{}}, claims: &fakeClaims{}, catalog: testCatalog(t, targets)}
	pool := &target.Pool{Common: c, MaxConnections: func(netip.AddrPort) int { return 100 }}
	go pool.Run(ctx)
	keeper := &crashes.Keeper{
		Common: c, ReportToPeers: func(quarantine.Fingerprint, string, time.Time) {}, TrustClosed: true, HasCrashed: func(string) bool { return h.crashed.Load() },
	}
	keeper.Start()
	directory.Configure(h.catalog)
	h.handler = &Handler{
		Common: c, Records: h, Services: directory, Targets: pool, Protocol: headers.Protocol{Entry: "entry-1"}, Claims: h.claims, Crashes: keeper,
		Ready: func() bool { return true }, IsStopping: func() bool { return false }, AnswerBy: func() time.Time { return time.Time{} }, OnTargetDraining: func(string, string) {}, BufferQuota: &buffers.Quota{Max: 16 << 20},
		TransferQuota: &buffers.Quota{Max: 64 << 20},
	}
	server := httptest.NewUnstartedServer(h.handler)
	_ = server.Listener.Close()
	var err error
	if server.Listener, err = (&net.ListenConfig{Control: sockets.Limit}).Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

func testCatalog(t *testing.T, targets []http.HandlerFunc) *catalog.Catalog {
	t.Helper()
	var list []string
	for i, handle := range targets {
		server := httptest.NewServer(handle)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		list = append(list, fmt.Sprintf(`{"name": "t%d", "address": %q}`, i+1, strings.TrimPrefix(server.URL, "http://")))
	}
	texts := strings.Split(testRules, "---")
	texts = append(texts, fmt.Sprintf(`{"schema": 2, "kind": "service", "name": "s", "targets": [%s],
		"capacity": {"slots": 10}, "load-header": "Endpoint-Load-Metrics", "drain-header": "Target-Draining"}`, strings.Join(list, ",")))
	c := &catalog.Catalog{}
	for i, text := range texts {
		rec, err := recordformat.Decode("rig", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		rec.Revision = uint64(i + 1)
		c.Apply(rec)
	}
	if got := len(c.All()); got != len(texts) {
		t.Fatalf("got %d records, want %d", got, len(texts))
	}
	return c
}

// reply is an answer as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // while the body was read
}

func (h *harness) do(request *http.Request) reply {
	h.t.Helper()
	got, err := h.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	return reply{status: got.StatusCode, header: got.Header, body: string(data), err: err}
}

func (h *harness) send(method, path, body string, fields ...string) reply {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.t.Context(), method, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	return h.do(request)
}

// raw sends the text unchanged over a new connection, and returns the status line and the header of the answer.
func (h *harness) raw(text string) string {
	h.t.Helper()
	socket, err := (&net.Dialer{}).DialContext(h.t.Context(), "tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(socket, text); err != nil {
		h.t.Fatal(err)
	}
	var head strings.Builder
	lines := bufio.NewScanner(socket)
	for lines.Scan() && lines.Text() != "" {
		head.WriteString(lines.Text() + "\n")
	}
	return head.String()
}

func (r reply) code() string { return r.header.Get("Poplar-Code") + " " + r.header.Get("Poplar-Run") }
