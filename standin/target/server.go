package target

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/standin/execlog"
	"poplarworks/standin/noise"
)

// Header names that the stand-in speaks.
const (
	loadHeader  = "Endpoint-Load-Metrics"
	drainHeader = "Target-Draining"
	keyHeader   = "Idempotency-Key"
	tokenHeader = "Request-Token"
)

// Server is one stand-in target; its exported fields are set before Run.
type Server struct {
	Name         string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	QueueLimit   int           // requests that may wait for a slot; more are shed
	ConnectCost  time.Duration // slot time for the first request of a connection
	ProbeCost    time.Duration // slot time for each probe
	Work         time.Duration // slot time for a request that does not ask for another
	ReportLag    time.Duration // age of the load reports
	RestartAfter time.Duration // time that a crash takes
	ColdFor      time.Duration // time after a start in which work takes longer
	ColdFactor   float64       // how many times longer, at the start
	Noise        noise.Schedule
	Log          *execlog.Log

	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	open     atomic.Int64
	reported atomic.Int64
	faults   faultState
	probes   window
	started  atomic.Int64 // unix nanoseconds of the last start

	mu     sync.Mutex
	server *http.Server
}

// Run serves until the context ends; it returns an error when the address cannot be bound.
func (s *Server) Run(ctx context.Context) error {
	s.slots = make(chan struct{}, s.Slots)
	go s.sampleLoad(ctx)
	for ctx.Err() == nil {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address.String())
		if err != nil {
			return err
		}
		s.serve(ctx, listener)
		s.sleep(ctx, s.RestartAfter)
	}
	return nil
}

func (s *Server) serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         s.connState,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, freshKey{}, &atomic.Bool{})
		},
	}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	s.started.Store(time.Now().UnixNano())
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// Crash ends every connection at once; the target comes back after RestartAfter.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
}

type freshKey struct{}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.open.Add(1) > int64(s.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// Load returns the requests that run and wait at this moment, and the slowdown in force.
func (s *Server) Load() (running, waiting int, slowdown float64) {
	now := time.Now()
	slowdown = s.Noise.Slowed(now) * s.faults.get().SlowFactor
	return int(s.running.Load()), int(s.waiting.Load()), slowdown
}

// ProbePeak returns the most probes seen within any one second.
func (s *Server) ProbePeak() int {
	return s.probes.Peak()
}

// ConnectionCount returns the connections that are open.
func (s *Server) ConnectionCount() int {
	return int(s.open.Load())
}

func (s *Server) sampleLoad(ctx context.Context) {
	if s.ReportLag <= 0 {
		return
	}
	ticker := time.NewTicker(s.ReportLag)
	defer ticker.Stop()
	seen := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Publishing the previous sample makes reports between one and two lags old.
		s.reported.Store(seen)
		seen = s.running.Load() + s.waiting.Load()
	}
}

func (s *Server) report() int64 {
	if s.faults.get().Lie {
		return 0
	}
	if s.ReportLag <= 0 {
		return s.running.Load() + s.waiting.Load()
	}
	return s.reported.Load()
}

func (s *Server) sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
