package target

import "sync/atomic"

// Faults describes how a target fails.
type Faults struct {
	SlowFactor float64 // factor by which work takes longer; 1 for a healthy target
	FailFast   bool    // every request gets status 500 at once
	Shed       bool    // every request gets status 503 at once
	Drain      bool    // responses carry the drain header
	ReportIdle bool    // load reports and responses to probes say that the target is idle
	Hang       bool    // requests get no response
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

// SetFaults replaces the faults of the target. A slow factor that is not positive counts as 1.
func (s *Server) SetFaults(faults Faults) {
	if faults.SlowFactor <= 0 {
		faults.SlowFactor = 1
	}
	s.faults.value.Store(&faults)
}
