package target

import "sync/atomic"

// Faults says what is wrong with a target at present.
type Faults struct {
	SlowFactor float64 // work takes this many times longer; 1 when healthy
	FailFast   bool    // every request gets 500 at once
	Shed       bool    // every request gets 503 at once
	Drain      bool    // answers carry the drain sign
	Lie        bool    // load reports and probes say idle
	Hang       bool    // requests get no answer
}

type faultState struct {
	value atomic.Pointer[Faults]
}

func (f *faultState) get() Faults {
	if value := f.value.Load(); value != nil {
		return *value
	}
	return Faults{SlowFactor: 1}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	if faults.SlowFactor <= 0 {
		faults.SlowFactor = 1
	}
	s.faults.value.Store(&faults)
}
