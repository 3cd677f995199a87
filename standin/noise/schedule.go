package noise

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Schedule alternates between quiet and noisy phases of random length; it is safe for concurrent use.
type Schedule struct {
	Seed   uint64
	Quiet  time.Duration // mean length of a quiet phase; zero turns the noise off
	Noisy  time.Duration // mean length of a noisy phase
	Factor float64       // how many times longer work takes in a noisy phase

	mu     sync.Mutex
	random *rand.Rand
	phases []phase
}

type phase struct {
	until  time.Time
	factor float64
}

const keptPhases = 4096

// Finish returns when work that starts now and takes the given time on a quiet target will end.
func (s *Schedule) Finish(now time.Time, work time.Duration) time.Time {
	if s.Quiet <= 0 || s.Factor <= 1 {
		return now.Add(work)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; ; i++ {
		s.extend(i, now)
		p := s.phases[i]
		if !p.until.After(now) {
			continue
		}
		need := time.Duration(float64(work) * p.factor)
		if end := now.Add(need); !end.After(p.until) {
			s.forget(i)
			return end
		}
		work -= time.Duration(float64(p.until.Sub(now)) / p.factor)
		now = p.until
	}
}

// Slowed reports the factor in force now.
func (s *Schedule) Slowed(now time.Time) float64 {
	if s.Quiet <= 0 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; ; i++ {
		s.extend(i, now)
		if s.phases[i].until.After(now) {
			return s.phases[i].factor
		}
	}
}

func (s *Schedule) extend(i int, now time.Time) {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	}
	if i < len(s.phases) {
		return
	}
	last := phase{until: now, factor: s.Factor}
	if len(s.phases) > 0 {
		last = s.phases[len(s.phases)-1]
	}
	next := phase{factor: 1}
	mean := s.Quiet
	if last.factor == 1 {
		next.factor, mean = s.Factor, s.Noisy
	}
	next.until = last.until.Add(time.Duration(s.random.ExpFloat64()*float64(mean)) + 1)
	s.phases = append(s.phases, next)
}

func (s *Schedule) forget(i int) {
	if i > keptPhases {
		s.phases = append(s.phases[:0:0], s.phases[i-keptPhases/2:]...)
	}
}
