package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"poplarworks/entry/common"
	"poplarworks/entry/sockets"
	"poplarworks/entry/tlsfiles"
)

// maxHeaderReadFactor is the multiple of the header limit up to which net/http reads a header. Headers between the two
// limits reach the handler, whose refusal can carry its code.
const maxHeaderReadFactor = 2

// Server listens for callers. Its exported fields must be set before Start.
type Server struct {
	*common.Common
	Handler http.Handler

	http    *http.Server
	limiter *limiter
}

// Start listens and serves in the background. It fails if the address or the TLS files cannot be used.
func (s *Server) Start(ctx context.Context) error {
	// Accepted connections inherit the limits of the listener.
	listener, err := (&net.ListenConfig{Control: sockets.Limit}).Listen(ctx, "tcp", s.Settings.CallerAddress.String())
	if err != nil {
		return err
	}
	s.limiter = &limiter{Listener: listener, common: s.Common, secure: s.Settings.CallerTLS.Enabled()}
	listener = s.limiter
	if s.Settings.CallerTLS.Enabled() {
		loader := &tlsfiles.Loader{Files: s.Settings.CallerTLS}
		if err := loader.Check(); err != nil {
			return err
		}
		listener = tls.NewListener(listener, loader.Server("h2", "http/1.1"))
	}
	s.http = &http.Server{
		Handler:           trackExchange(s.Handler),
		ConnContext:       withConn,
		ConnState:         trackState,
		ReadHeaderTimeout: s.Settings.HeaderTimeout,
		IdleTimeout:       s.Settings.IdleTimeout,
		MaxHeaderBytes:    maxHeaderReadFactor * s.Settings.MaxHeaderBytes,
		ErrorLog:          nil,
		Protocols:         protocols(),
	}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// CloseIdle closes idle connections, and every other connection after its current answer, so that callers connect to
// other entries.
func (s *Server) CloseIdle() {
	s.http.SetKeepAlivesEnabled(false)
}

// Shutdown stops listening and waits for requests in flight. Connections that remain after the timeout are closed.
func (s *Server) Shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	return int(s.limiter.open.Load())
}
