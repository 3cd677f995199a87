package invariant

import "fmt"

// Checker calls Fail for each breach; a nil Checker checks nothing.
type Checker struct {
	Fail func(breach string) // must not return normally in production use
}

// Hold reports a breach when the condition is false; the arguments fill the format.
func (c *Checker) Hold(condition bool, format string, args ...any) {
	if c == nil || condition {
		return
	}
	c.Fail(fmt.Sprintf(format, args...))
}
