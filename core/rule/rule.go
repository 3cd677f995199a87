package rule

import (
	"slices"
	"strings"
	"time"

	"poplarworks/core/part"
)

// Class says how long the requests of a rule run.
type Class string

// The classes.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Priority says what is kept at the crest; a higher one is served first.
type Priority int

// Rule is what an operator's rule record says.
type Rule struct {
	Name           string
	Service        string
	Split          []part.Part // instead of Service: the services that share the requests
	Host           string      // exact host; empty matches every host
	Methods        []string    // empty matches every method
	PathPrefix     string
	Idempotent     bool
	Class          Class
	Priority       Priority
	Deadline       time.Duration
	KeyHeader      string        // header with the idempotency key, for a rule that is not idempotent
	KeyRequired    bool          // without a key: refuse, instead of one try without a claim
	NotRunStatuses []int         // statuses by which a target says that it did not run the request
	RetryRatio     float64       // retries for each first attempt
	MaxAttempts    int           // attempts for each request
	HedgeRatio     float64       // hedges for each first attempt
	MaxBody        int64         // bytes
	MaxAnswerKept  int           // bytes of an answer that are held back, or kept with a claim
	Retention      time.Duration // how long a claim and its answer are kept
	Objective      time.Duration // time in which an answer has its full worth; zero if unknown
	Large          bool          // answers are so large that they should not cross data centres
}

// Matches reports whether the rule covers a request.
func (r Rule) Matches(host, method, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return matchesPath(r.PathPrefix, path)
}

func matchesPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Before reports whether the rule is more specific than the other; specific rules are tried first.
func (r Rule) Before(other Rule) bool {
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

// Overlaps reports whether both rules match some request and neither is more specific.
func (r Rule) Overlaps(other Rule) bool {
	if !strings.EqualFold(r.Host, other.Host) || r.PathPrefix != other.PathPrefix {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return len(r.Methods) == len(other.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}
