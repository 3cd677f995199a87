package relay

import (
	"poplarworks/core/ratelimit"
	"poplarworks/core/report"
)

// ResponseMetadata holds what the header fields of an answer report about the target and the request.
type ResponseMetadata struct {
	LoadReport        report.Report // valid if HasReport
	HasReport         bool
	RateLimit         ratelimit.Limit
	Draining          bool // the target is leaving
	AddressReassigned bool // another incarnation now has the address
	NamesRequest      bool // the answer names this request
	NotRun            bool // the answer proves that the target did not run the request
	FromDownstream    bool // the answer comes from another entry downstream, which has already retried
	Mismatched        bool // the answer belongs to another request, or was not written by the target
}
