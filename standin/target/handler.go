package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"poplarworks/standin/execlog"
)

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.get()
	w.Header().Set(loadHeader, fmt.Sprintf("TEXT named_metrics.in_flight=%d,named_metrics.slots=%d", s.report(), s.Slots))
	if faults.Drain {
		w.Header().Set(drainHeader, "1")
	}
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.URL.Path == "/load":
		s.probe(w, r)
	case faults.Hang:
		<-r.Context().Done()
	case faults.FailFast:
		http.Error(w, "broken", http.StatusInternalServerError)
	case faults.Shed:
		http.Error(w, "shedding", http.StatusServiceUnavailable)
	default:
		s.work(w, r)
	}
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	s.probes.Add(time.Now())
	if !s.acquire(r) {
		http.Error(w, "shedding", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.sleep(r.Context(), s.ProbeCost)
}

// acquire waits for a slot; it gives up when the queue is full or the caller leaves.
func (s *Server) acquire(r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.QueueLimit) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) release() {
	s.running.Add(-1)
	<-s.slots
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	drained := s.faults.get().Drain
	if !s.acquire(r) {
		http.Error(w, "shedding", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	place := s.Log.Start(execlog.Execution{
		Target:  s.Name,
		Key:     r.Header.Get(keyHeader),
		Token:   r.Header.Get(tokenHeader),
		Method:  r.Method,
		Started: time.Now(),
		Drained: drained,
	})
	whole := false
	defer func() { s.Log.Finish(place, time.Now(), whole) }()
	if r.URL.Query().Has("poison") {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.sleep(r.Context(), s.span(r))
	if r.Context().Err() != nil {
		return
	}
	whole = s.answer(w, r, body)
}

func (s *Server) span(r *http.Request) time.Duration {
	work := s.Work
	if text := r.URL.Query().Get("work"); text != "" {
		if asked, err := time.ParseDuration(text); err == nil {
			work = asked
		}
	}
	now := time.Now()
	work = time.Duration(float64(work) * s.faults.get().SlowFactor * s.coldness(now))
	end := s.Noise.Finish(now, work)
	return end.Sub(now) + s.connectCost(r)
}

func (s *Server) connectCost(r *http.Request) time.Duration {
	used, ok := r.Context().Value(freshKey{}).(*atomic.Bool)
	if !ok || used.Swap(true) {
		return 0
	}
	return s.ConnectCost
}

func (s *Server) coldness(now time.Time) float64 {
	age := now.Sub(time.Unix(0, s.started.Load()))
	if age >= s.ColdFor || s.ColdFactor <= 1 {
		return 1
	}
	left := float64(s.ColdFor-age) / float64(s.ColdFor)
	return 1 + (s.ColdFactor-1)*left
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte) bool {
	query := r.URL.Query()
	token := r.Header.Get(tokenHeader)
	w.Header().Set("Answer-Token", token)
	if size, err := strconv.ParseInt(query.Get("bytes"), 10, 64); err == nil && size > 0 {
		rate, _ := strconv.ParseInt(query.Get("rate"), 10, 64)
		download := &download{size: size, rate: rate}
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("build-%d", size)))
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "", time.Time{}, download)
		return r.Context().Err() == nil
	}
	w.Header().Set("Content-Type", "text/plain")
	if status, err := strconv.Atoi(query.Get("status")); err == nil && status >= 200 && status < 600 {
		w.WriteHeader(status)
	}
	_, err := fmt.Fprintf(w, "target=%s token=%s path=%s body-bytes=%d\n", s.Name, token, r.URL.Path, len(body))
	return err == nil
}
