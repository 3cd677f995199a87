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
	w.Header().Set(loadHeader,
		fmt.Sprintf("TEXT named_metrics.in_flight=%d,named_metrics.slots=%d", s.reportedLoad(), s.Slots))
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

// acquire waits for a slot. It reports false if the queue is full or the request is cancelled.
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
	draining := s.faults.get().Drain
	if !s.acquire(r) {
		http.Error(w, "shedding", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	index := s.Log.Start(execlog.Execution{
		Target:   s.Name,
		Key:      r.Header.Get(keyHeader),
		Token:    r.Header.Get(tokenHeader),
		Method:   r.Method,
		Started:  time.Now(),
		Draining: draining,
	})
	complete := false
	defer func() { s.Log.Finish(index, time.Now(), complete) }()
	if r.URL.Query().Has("poison") {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.sleep(r.Context(), s.workTime(r))
	if r.Context().Err() != nil {
		return
	}
	complete = s.writeResponse(w, r, body)
}

// workTime returns how long the request occupies its slot.
func (s *Server) workTime(r *http.Request) time.Duration {
	work := s.Work
	if text := r.URL.Query().Get("work"); text != "" {
		if requested, err := time.ParseDuration(text); err == nil {
			work = requested
		}
	}
	now := time.Now()
	work = time.Duration(float64(work) * s.faults.get().SlowFactor * s.slowStartFactor(now))
	end := s.Noise.FinishTime(now, work)
	return end.Sub(now) + s.connectCost(r)
}

// connectCost returns the extra cost of the first request of a connection.
func (s *Server) connectCost(r *http.Request) time.Duration {
	charged, ok := r.Context().Value(connectCostKey{}).(*atomic.Bool)
	if !ok || charged.Swap(true) {
		return 0
	}
	return s.ConnectCost
}

// slowStartFactor returns the factor by which work takes longer after a start. It falls linearly to 1.
func (s *Server) slowStartFactor(now time.Time) float64 {
	age := now.Sub(time.Unix(0, s.started.Load()))
	if age >= s.SlowStartTime || s.SlowStartFactor <= 1 {
		return 1
	}
	remaining := float64(s.SlowStartTime-age) / float64(s.SlowStartTime)
	return 1 + (s.SlowStartFactor-1)*remaining
}

// writeResponse writes the response and reports whether it was written completely.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) bool {
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
