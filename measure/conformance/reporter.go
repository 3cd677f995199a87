package conformance

import (
	"fmt"
	"runtime"
)

// The methods of this file make a run the rapid.TB to which failures are reported.

// Helper does nothing, since no line numbers are reported.
func (r *run) Helper() {}

// Name returns the name of the check.
func (r *run) Name() string { return "conformance" }

// Logf writes a line.
func (r *run) Logf(format string, values ...any) { r.Log(fmt.Sprintf(format, values...)) }

// Log writes a line.
func (r *run) Log(values ...any) { _, _ = fmt.Fprintln(r.out, values...) }

// Skipf ends the goroutine of the check.
func (r *run) Skipf(string, ...any) { r.SkipNow() }

// Skip ends the goroutine of the check.
func (r *run) Skip(...any) { r.SkipNow() }

// SkipNow ends the goroutine of the check.
func (r *run) SkipNow() { runtime.Goexit() }

// Fail marks the run as failed.
func (r *run) Fail() { r.failed = true }

// Failed reports whether the run has failed.
func (r *run) Failed() bool { return r.failed }

// FailNow marks the run as failed and ends the goroutine of the check.
func (r *run) FailNow() {
	r.Fail()
	runtime.Goexit()
}

// Errorf writes a line and marks the run as failed.
func (r *run) Errorf(format string, values ...any) { r.Error(fmt.Sprintf(format, values...)) }

// Error writes a line and marks the run as failed.
func (r *run) Error(values ...any) {
	r.Log(values...)
	r.Fail()
}

// Fatalf writes a line, marks the run as failed and ends the goroutine of the check.
func (r *run) Fatalf(format string, values ...any) { r.Fatal(fmt.Sprintf(format, values...)) }

// Fatal writes a line, marks the run as failed and ends the goroutine of the check.
func (r *run) Fatal(values ...any) {
	r.Log(values...)
	r.FailNow()
}
