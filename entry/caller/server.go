package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"poplarworks/entry/common"
	"poplarworks/entry/tlsfiles"
)

// hardHeaderFactor is how far above the limit a header is read, so that the refusal can carry its code.
const hardHeaderFactor = 2

// Server listens for callers; its exported fields are set before Run.
type Server struct {
	*common.Common
	Handler http.Handler

	http    *http.Server
	limiter *limiter
}

// Start listens; it fails when the address or the TLS files cannot be used.
func (s *Server) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Settings.CallerAddress.String())
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
		Handler:           s.Handler,
		ReadHeaderTimeout: s.Settings.HeaderTimeout,
		IdleTimeout:       s.Settings.IdleTimeout,
		MaxHeaderBytes:    hardHeaderFactor * s.Settings.MaxHeaderBytes,
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

// CloseIdle tells callers with idle connections to come back elsewhere, and closes each connection after its answer.
func (s *Server) CloseIdle() {
	s.http.SetKeepAlivesEnabled(false)
}

// Shutdown stops listening and waits for requests in flight until the time is up, then cuts those that remain.
func (s *Server) Shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}

// Connections returns the number of connections that are open.
func (s *Server) Connections() int {
	return int(s.limiter.open.Load())
}
