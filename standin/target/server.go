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

// Names of the headers that the target reads and writes.
const (
	loadHeader  = "Endpoint-Load-Metrics"
	drainHeader = "Target-Draining"
	keyHeader   = "Idempotency-Key"
	tokenHeader = "Request-Token"
)

// Server is one simulated target. Its exported fields must be set before Run.
type Server struct {
	Name            string
	Address         netip.AddrPort
	Slots           int
	Connections     int
	QueueLimit      int           // maximum number of requests that wait for a slot; others are shed
	ConnectCost     time.Duration // extra slot time of the first request of a connection
	ProbeCost       time.Duration // slot time of each probe
	Work            time.Duration // slot time of a request that does not set its own
	ReportLag       time.Duration // interval of load samples; reports are one to two intervals old
	RestartAfter    time.Duration // downtime after a crash
	SlowStartTime   time.Duration // time after a start during which work takes longer
	SlowStartFactor float64       // factor by which work takes longer right after a start
	Noise           noise.Schedule
	Log             *execlog.Log

	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	open     atomic.Int64
	reported atomic.Int64
	faults   faultState
	probes   window
	started  atomic.Int64 // time of the last start, in Unix nanoseconds

	mu     sync.Mutex
	server *http.Server
}

// Run serves until the context ends and restarts after each crash. It returns an error if the address cannot be bound.
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
			return context.WithValue(ctx, connectCostKey{}, &atomic.Bool{})
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

// Crash closes every connection at once. The target restarts after RestartAfter.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
}

// connectCostKey is the context key of the flag that records whether the connect cost of a connection was charged.
type connectCostKey struct{}

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

// CurrentLoad returns the numbers of running and waiting requests and the current slowdown factor.
func (s *Server) CurrentLoad() (running, waiting int, slowdown float64) {
	now := time.Now()
	slowdown = s.Noise.SlowdownFactor(now) * s.faults.get().SlowFactor
	return int(s.running.Load()), int(s.waiting.Load()), slowdown
}

// ProbePeak returns the peak number of probes within one second.
func (s *Server) ProbePeak() int {
	return s.probes.Peak()
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	return int(s.open.Load())
}

func (s *Server) sampleLoad(ctx context.Context) {
	if s.ReportLag <= 0 {
		return
	}
	ticker := time.NewTicker(s.ReportLag)
	defer ticker.Stop()
	previous := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// The previous sample is published, so that reports are between one and two lags old.
		s.reported.Store(previous)
		previous = s.running.Load() + s.waiting.Load()
	}
}

func (s *Server) reportedLoad() int64 {
	if s.faults.get().ReportIdle {
		return 0
	}
	if s.ReportLag <= 0 {
		return s.running.Load() + s.waiting.Load()
	}
	return s.reported.Load()
}

func (s *Server) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
