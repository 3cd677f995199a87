package noise

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Schedule alternates between quiet and noisy phases, whose lengths are exponentially distributed. It is safe for
// concurrent use.
type Schedule struct {
	Seed   uint64
	Quiet  time.Duration // mean length of a quiet phase; zero disables noisy phases
	Noisy  time.Duration // mean length of a noisy phase
	Factor float64       // factor by which work takes longer in a noisy phase

	mu     sync.Mutex
	random *rand.Rand
	phases []phase
}

type phase struct {
	until  time.Time
	factor float64
}

// maxPhases is the number of past phases after which all but the latest half are dropped.
const maxPhases = 4096

// FinishTime returns when work that starts now will end, where work is the time that it takes in a quiet phase.
func (s *Schedule) FinishTime(now time.Time, work time.Duration) time.Time {
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
		duration := time.Duration(float64(work) * p.factor)
		if end := now.Add(duration); !end.After(p.until) {
			s.trimPhases(i)
			return end
		}
		work -= time.Duration(float64(p.until.Sub(now)) / p.factor)
		now = p.until
	}
}

// SlowdownFactor returns the factor by which work takes longer at the given time.
func (s *Schedule) SlowdownFactor(now time.Time) float64 {
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

// trimPhases drops old phases, where i is the index of the current one.
func (s *Schedule) trimPhases(i int) {
	if i > maxPhases {
		s.phases = append(s.phases[:0:0], s.phases[i-maxPhases/2:]...)
	}
}
