package report

// Report is the load of one target at one moment.
type Report struct {
	Running  int     // requests that occupy a slot
	Waiting  int     // requests that wait for a slot
	Slots    int     // number of slots; zero if the target does not report it
	Slowdown float64 // current processing time as a multiple of the usual one; zero if the target does not report it
}

// InFlight returns the number of requests at the target, running or waiting.
func (r Report) InFlight() int {
	return r.Running + r.Waiting
}
