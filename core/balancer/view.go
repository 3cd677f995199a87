package balancer

import (
	"slices"
	"time"
)

// view shows the targets to the picker for one request.
type view struct {
	b     *Balancer
	now   time.Time
	long  bool
	panic bool
	tried []string
}

func (v *view) Len() int { return len(v.b.targets) }

func (v *view) Open(i int) bool {
	t := v.b.targets[i]
	return t.open(v.now, v.panic) && !slices.Contains(v.tried, t.record.Name)
}

func (v *view) Eligible(i int) bool {
	return v.Open(i) && v.b.targets[i].fits(v.now, v.long)
}

func (v *view) Own(i int) int { return v.b.targets[i].load.Own() }

func (v *view) Cost(i int) float64 { return v.b.targets[i].cost(v.now) }

func (v *view) Name(i int) string { return v.b.targets[i].record.Name }

func (v *view) Now() time.Time { return v.now }
