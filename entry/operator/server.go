package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/alexedwards/flow"

	"poplarworks/core/catalog"
	"poplarworks/core/code"
	"poplarworks/core/membership"
	"poplarworks/core/record"
	"poplarworks/entry/common"
	"poplarworks/entry/peer"
	"poplarworks/entry/refusal"
	"poplarworks/entry/tlsfiles"
)

const (
	headerTimeout = 5 * time.Second
	peerTimeout   = 2 * time.Second
)

type recordStore interface {
	Catalog() *catalog.Catalog
	CompleteRevision() uint64
	Put(ctx context.Context, rec record.Record, replaces uint64) (record.Record, error)
}

type peerMesh interface {
	Members() []membership.Member
	FetchInFlight(ctx context.Context, peer, service, target string) (peer.InFlightReport, error)
	FetchDump(ctx context.Context, peer string) ([]byte, error)
}

// Server serves the operators' requests. Its exported fields must be set before Start.
type Server struct {
	*common.Common
	Records     recordStore
	Peers       peerMesh
	OwnInFlight func(service, target string) peer.InFlightReport
	Dump        func() []byte
	Status      func() []byte
	Healthz     http.HandlerFunc
	Readyz      http.HandlerFunc

	token token
}

// Start listens for requests. It fails when the address, the token file or the TLS files cannot be used.
func (s *Server) Start(ctx context.Context) error {
	s.token.file = s.Settings.TokenFile
	if err := s.token.check(); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Settings.OperatorAddress.String())
	if err != nil {
		return err
	}
	if s.Settings.OperatorTLS.Enabled() {
		loader := &tlsfiles.Loader{Files: s.Settings.OperatorTLS}
		if err := loader.Check(); err != nil {
			return err
		}
		listener = tls.NewListener(listener, loader.Server("http/1.1"))
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Handler returns the handler with all routes. All but the health checks require the token.
func (s *Server) Handler() http.Handler {
	mux := flow.New()
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, code.NotFound, "") })
	mux.HandleFunc("/healthz", s.Healthz, http.MethodGet)
	mux.HandleFunc("/readyz", s.Readyz, http.MethodGet)
	mux.Group(func(mux *flow.Mux) {
		mux.Use(s.authorise)
		mux.HandleFunc("/v1/records", s.listRecords, http.MethodGet)
		mux.HandleFunc("/v1/records/:kind/:name", s.getRecord, http.MethodGet)
		mux.HandleFunc("/v1/records/:kind/:name", s.putRecord, http.MethodPut)
		mux.HandleFunc("/v1/records/:kind/:name", s.deleteRecord, http.MethodDelete)
		mux.HandleFunc("/v1/validate", s.validate, http.MethodPost)
		mux.HandleFunc("/v1/stops/:name", s.stopStatus, http.MethodGet)
		mux.HandleFunc("/v1/status", s.status, http.MethodGet)
		mux.HandleFunc("/v1/dump", s.dump, http.MethodGet)
		mux.HandleFunc("/v1/metrics", s.metrics, http.MethodGet)
	})
	return mux
}

func (s *Server) authorise(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.token.accepts(r.Header.Get("Authorization")) {
			s.Log("operator").WithField("from", r.RemoteAddr).Warn("A request without a valid token was refused.")
			writeRefusal(w, code.Unauthorised, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeRefusal(w http.ResponseWriter, number code.Code, detail string) {
	refusal.Refusal{Code: number, Execution: code.NotRun, Detail: detail}.Write(w)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.Status())
}

// dump responds with the state of this entry, or with the state of every entry by name when all=true.
func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("all") != "true" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(s.Dump())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	dumps := map[string]json.RawMessage{s.Settings.Name: s.Dump()}
	for _, m := range s.Peers.Members() {
		data, err := s.Peers.FetchDump(ctx, m.Name)
		if err != nil {
			data, _ = json.Marshal(map[string]string{"error": err.Error()})
		}
		dumps[m.Name] = data
	}
	writeJSON(w, dumps)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Metrics.GetAll())
}
