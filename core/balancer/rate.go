package balancer

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.get(now) + float64(time.Second)/float64(rateTimeConstant)
	r.at = now
}

func (r *rate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateTimeConstant))
}
