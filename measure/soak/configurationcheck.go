package soak

import (
	"fmt"
	"net/http"
)

// configurationChecker finds entries that return to an older configuration, or that apply a newer one too late.
type configurationChecker struct {
	starts       []int    // of each entry's process at the last check
	newestServed []uint64 // number of the newest configuration with which this process has served a request
}

func newConfigurationChecker(entries int) *configurationChecker {
	return &configurationChecker{starts: make([]int, entries), newestServed: make([]uint64, entries)}
}

// check checks the status of a response on the route that a configuration added, and returns the violation, if any.
// The configuration must be in force at the entry if due is set.
func (c *configurationChecker) check(entry, starts int, queried configuration, status int, due bool) string {
	if c.starts[entry] != starts {
		c.starts[entry], c.newestServed[entry] = starts, 0
	}
	switch {
	case status == http.StatusOK:
		c.newestServed[entry] = max(c.newestServed[entry], queried.number)
	case status != http.StatusNotFound:
	case c.newestServed[entry] >= queried.number:
		return fmt.Sprintf("entry %d returned to a configuration before %d", entry, queried.number)
	case due:
		return fmt.Sprintf("entry %d did not apply configuration %d in time", entry, queried.number)
	}
	return ""
}
