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

// protocol is how callers and targets name what goes beside a request and its answer.
type protocol interface {
	Left(fields http.Header) (time.Duration, bool)
	Retries(fields http.Header) int
	Outgoing(fields http.Header, s relay.Sending)
	Read(answer *http.Response, s *service.Service, r *rule.Rule) relay.Signs
	Sign(fields http.Header, id string)
	Refuse(w http.ResponseWriter, r refusal.Refusal)
}

// asker asks targets for their load before one is chosen.
type asker interface {
	Ask(ctx context.Context, s *dispatch.Service, r request.Request)
}

type claimKeeper interface {
	Claim(ctx context.Context, ticket *claims.Ticket) claims.Result
	Look(ctx context.Context, ticket *claims.Ticket) claims.Result
	Settle(ticket *claims.Ticket, kept *answer.Answer)
}

type crashKeeper interface {
	Blocked(now time.Time, fingerprint quarantine.Fingerprint) (time.Time, bool)
	Suspect(now time.Time, fingerprint quarantine.Fingerprint) bool
	Crash(fingerprint quarantine.Fingerprint, target string)
	Forgive(fingerprint quarantine.Fingerprint)
}

const (
	drainingRetry = 50 * time.Millisecond  // spaces a refused caller's next attempt, which goes to another entry
	notReadyRetry = 150 * time.Millisecond // an entry that has started usually knows its records within this time
)

// Handler serves callers; its exported fields are set before use.
type Handler struct {
	*common.Common
	Records  records
	Services services
	Targets  targets
	Dialect  protocol
	Asker    asker // nil if no service asks its targets
	Claims   claimKeeper
	Crashes  crashKeeper
	Ready    func() bool                         // whether records and peers have been heard
	Refusing func() bool                         // whether new requests are refused, since the entry is stopping
	Left     func(service string, target string) // tells of a target that says it is leaving
	Quota    *buffers.Quota

	inFlight  atomic.Int64
	logMu     sync.Mutex
	logTokens bucket.Bucket
	chunks    sync.Pool // of pieces of copyChunk bytes
}

// chunk returns a piece of memory for copying, to be given back when the copy has ended.
func (h *Handler) chunk() *[]byte {
	if held, ok := h.chunks.Get().(*[]byte); ok {
		return held
	}
	piece := make([]byte, copyChunk)
	return &piece
}

// InFlight returns the requests that are being served.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.Counter("caller.requests").Inc(1)
	begun := h.Now()
	c := &call{Handler: h, w: w, r: r, control: http.NewResponseController(w)}
	defer c.close()
	defer c.logOutcome(begun)
	if refused := c.prepare(); refused != nil {
		c.refuseEarly(*refused)
		return
	}
	c.serve()
	h.Histogram("caller.us").Update(h.Now().Sub(begun).Microseconds())
}

// admit refuses what cannot be served before the request is looked at.
func (h *Handler) admit() *refusal.Refusal {
	if h.Refusing() {
		return &refusal.Refusal{Code: code.Draining, Run: code.NotRun, RetryAfter: drainingRetry}
	}
	if !h.Ready() {
		return &refusal.Refusal{Code: code.NotReady, Run: code.NotRun, RetryAfter: notReadyRetry}
	}
	return nil
}
