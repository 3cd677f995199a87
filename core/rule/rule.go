package rule

import (
	"slices"
	"strings"
	"time"

	"poplarworks/core/weightedservice"
)

// Class tells rules with short requests from those with long ones.
type Class string

// The classes of rules.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Priority decides which requests are served under overload. Higher priorities are served first.
type Priority int

// Rule is the content of a rule record.
type Rule struct {
	Name             string
	Service          string
	Split            []weightedservice.WeightedService // services that share the requests; used instead of Service
	Host             string                            // exact host; empty matches every host
	Methods          []string                          // empty matches every method
	PathPrefix       string
	Idempotent       bool
	Class            Class
	Priority         Priority
	Deadline         time.Duration
	KeyHeader        string        // header with the idempotency key; used if the rule is not idempotent
	KeyRequired      bool          // refuses requests without a key; otherwise they get a single attempt without a claim
	NotRunStatuses   []int         // statuses by which a target states that it did not run the request
	RetryRatio       float64       // retries allowed per first attempt
	MaxAttempts      int           // attempts allowed per request, including the first
	HedgeRatio       float64       // hedged attempts allowed per first attempt
	MaxBodyBytes     int64         // largest request body, in bytes
	MaxAnswerBytes   int           // bytes of an answer that are buffered, or stored with a claim
	Retention        time.Duration // how long a claim and its answer are stored
	LatencyObjective time.Duration // latency up to which an answer has its full value; zero if unknown
	LargeAnswers     bool          // whether answers are so large that they should not cross data centres
}

// Matches reports whether the rule applies to a request.
func (r Rule) Matches(host, method, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return matchesPath(r.PathPrefix, path)
}

// matchesPath reports whether the path begins with the prefix and the prefix ends at a path segment.
func matchesPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// MoreSpecificThan reports whether the rule is tried before the other. More specific rules are tried first; equally
// specific ones are ordered by name.
func (r Rule) MoreSpecificThan(other Rule) bool {
	if (r.Host != "") != (other.Host != "") {
		return r.Host != ""
	}
	if len(r.PathPrefix) != len(other.PathPrefix) {
		return len(r.PathPrefix) > len(other.PathPrefix)
	}
	if (len(r.Methods) > 0) != (len(other.Methods) > 0) {
		return len(r.Methods) > 0
	}
	return r.Name < other.Name
}

// Overlaps reports whether some request matches both rules and neither is more specific.
func (r Rule) Overlaps(other Rule) bool {
	if !strings.EqualFold(r.Host, other.Host) || r.PathPrefix != other.PathPrefix {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return len(r.Methods) == len(other.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}
