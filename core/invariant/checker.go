package invariant

import "fmt"

// Checker calls Fail for each violation of an invariant. A nil Checker checks nothing.
type Checker struct {
	Fail func(violation string) // must not return normally in production
}

// Assert checks that the condition is true. If it is not, it reports a violation, described by the format and
// arguments.
func (c *Checker) Assert(condition bool, format string, args ...any) {
	if c == nil || condition {
		return
	}
	c.Fail(fmt.Sprintf(format, args...))
}
