package ratelimit

// Limit is the request rate that a target accepts from all entries together. The zero value is no limit.
type Limit struct {
	Named     bool
	PerSecond float64 // valid if Named
}
