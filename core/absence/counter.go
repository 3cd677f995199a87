package absence

// Counter counts, for each entry, the consecutive checks that it failed. Its exported field is set before use.
type Counter struct {
	FailureThreshold int // number of consecutive failed checks after which an entry counts as gone

	failed map[string]int
}

// Check records one check of each listed entry and returns the entries that count as gone. It returns none while most
// entries fail their check, since then this entry is probably the one that is cut off.
func (c *Counter) Check(listed []string, alive func(name string) bool) []string {
	failed := map[string]int{}
	var gone []string
	for _, name := range listed {
		if alive(name) {
			continue
		}
		failed[name] = c.failed[name] + 1
		if failed[name] >= c.FailureThreshold {
			gone = append(gone, name)
		}
	}
	c.failed = failed
	if 2*len(failed) > len(listed) {
		return nil
	}
	return gone
}
