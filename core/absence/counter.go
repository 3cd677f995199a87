package absence

// Counter counts, for each entry, the looks in a row in which it was silent; its exported field is set before use.
type Counter struct {
	Looks int // in a row, after which an entry counts as gone

	silent map[string]int
}

// Look takes what the looks at the listed entries showed, and returns those that count as gone: none while most are silent, since then
// it is probably the one that looks that is cut off.
func (c *Counter) Look(listed []string, alive func(name string) bool) []string {
	silent := map[string]int{}
	var gone []string
	for _, name := range listed {
		if alive(name) {
			continue
		}
		silent[name] = c.silent[name] + 1
		if silent[name] >= c.Looks {
			gone = append(gone, name)
		}
	}
	c.silent = silent
	if 2*len(silent) > len(listed) {
		return nil
	}
	return gone
}
