package report

// Report is the load of one target at one moment.
type Report struct {
	Running  int     // requests that hold a slot
	Waiting  int     // requests that wait for one
	Slots    int     // zero unless the target says so
	Slowdown float64 // how many times longer than usual work takes there at this moment; zero unless the target says so
}

// InFlight returns the requests that the target holds.
func (r Report) InFlight() int {
	return r.Running + r.Waiting
}
