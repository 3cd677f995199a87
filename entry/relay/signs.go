package relay

import "poplarworks/core/report"

// Signs is what an answer says of its target and of the request.
type Signs struct {
	Report     report.Report // set if HasReport
	HasReport  bool
	Draining   bool // the target is leaving
	Elsewhere  bool // another incarnation has the address
	NotRun     bool // the target proves that it did not run the request
	Downstream bool // the answer comes from another entry further down, which has retried already
	Foreign    bool // the answer belongs to another request, or is not the target's own
}
