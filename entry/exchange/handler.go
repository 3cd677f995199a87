package exchange

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/answer"
	"poplarworks/core/bucket"
	"poplarworks/core/catalog"
	"poplarworks/core/code"
	"poplarworks/core/quarantine"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/entry/buffers"
	"poplarworks/entry/claims"
	"poplarworks/entry/common"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/refusal"
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

type records interface {
	Catalog() *catalog.Catalog
}

type services interface {
	Choose(r *rule.Rule) (*dispatch.Service, bool)
}

type targets interface {
	Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (*target.Exchange, bool, error)
}

// protocol reads and writes the header fields in which callers, entries and targets exchange deadlines, retries, load
// reports and refusals.
type protocol interface {
	RemainingTime(fields http.Header) (time.Duration, bool)
	Retries(fields http.Header) int
	SetRequestFields(fields http.Header, s relay.RequestMetadata)
	ReadResponse(answer *http.Response, s *service.Service, r *rule.Rule) relay.ResponseMetadata
	Sign(fields http.Header, id string)
	Refuse(w http.ResponseWriter, r refusal.Refusal)
}

// loadProber queries the load of some targets before one is chosen.
type loadProber interface {
	ProbeCandidates(ctx context.Context, s *dispatch.Service, r request.Request)
}

type claimManager interface {
	Claim(ctx context.Context, ticket *claims.Ticket) claims.Result
	Lookup(ctx context.Context, ticket *claims.Ticket) claims.Result
	RecordOutcome(ticket *claims.Ticket, stored *answer.Answer)
}

type crashTracker interface {
	Quarantined(now time.Time, fingerprint quarantine.Fingerprint) (time.Time, bool)
	CrashedRecently(now time.Time, fingerprint quarantine.Fingerprint) bool
	SuspectClosed(fingerprint quarantine.Fingerprint, requestID, target string)
	Suspect(fingerprint quarantine.Fingerprint, requestID, target string, crashedAt time.Time)
	SuspectAbandoned(fingerprint quarantine.Fingerprint, requestID, target string, crashedAt time.Time)
	RecordAnswer(fingerprint quarantine.Fingerprint)
}

const (
	drainingRetryAfter = 50 * time.Millisecond  // delays the refused caller's next attempt, which goes to another entry
	notReadyRetryAfter = 150 * time.Millisecond // an entry usually has its records this long after its start

	overloadedRetryAfter = time.Second
)

// Handler serves the requests of callers. Its exported fields must be set before use.
type Handler struct {
	*common.Common
	Records          records
	Services         services
	Targets          targets
	Protocol         protocol
	Prober           loadProber // nil if no service probes its targets before a choice
	Claims           claimManager
	Crashes          crashTracker
	Ready            func() bool                         // whether the records and the peers' reports were received
	IsStopping       func() bool                         // whether new requests are refused because the entry is stopping
	AnswerBy         func() time.Time                    // when all requests must have been answered because the entry stops; zero if it does not
	OnTargetDraining func(service string, target string) // called when a target reports that it is draining
	BufferQuota      *buffers.Quota                      // for complete bodies of requests and answers
	TransferQuota    *buffers.Quota                      // for copy buffers and sockets of requests that are sent to targets

	inFlight    atomic.Int64
	logMu       sync.Mutex
	logTokens   bucket.Bucket
	copyBuffers sync.Pool // holds *[]byte of copyBufferSize
}

// takeBuffer returns a buffer for copying. The caller puts it back into copyBuffers after use.
func (h *Handler) takeBuffer() *[]byte {
	if pooled, ok := h.copyBuffers.Get().(*[]byte); ok {
		return pooled
	}
	buffer := make([]byte, copyBufferSize)
	return &buffer
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.Counter("caller.requests").Inc(1)
	startedAt := h.Now()
	c := &call{Handler: h, w: w, r: r, control: http.NewResponseController(w)}
	defer c.close()
	defer c.logOutcome(startedAt)
	if refused := c.prepare(); refused != nil {
		c.refuseEarly(*refused)
		return
	}
	c.serve()
	h.Histogram("caller.us").Update(h.Now().Sub(startedAt).Microseconds())
}

// admit returns a refusal, without reading the request, if the entry is draining or not ready yet; otherwise nil.
func (h *Handler) admit() *refusal.Refusal {
	if h.IsStopping() {
		return &refusal.Refusal{Code: code.Draining, Execution: code.NotRun, RetryAfter: drainingRetryAfter}
	}
	if !h.Ready() {
		return &refusal.Refusal{Code: code.NotReady, Execution: code.NotRun, RetryAfter: notReadyRetryAfter}
	}
	return nil
}
