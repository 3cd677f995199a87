package soak

import (
	"fmt"
	"net/http"
)

// configurationWatch finds entries that go back to an older configuration, or are late with a newer one.
type configurationWatch struct {
	starts []int    // of each entry's process when it was last looked at
	served []uint64 // newest configuration that this process has served
}

func newConfigurationWatch(entries int) *configurationWatch {
	return &configurationWatch{starts: make([]int, entries), served: make([]uint64, entries)}
}

// look takes the answer on the route that a configuration added, and returns what it breaks; due says that the configuration must be
// in force there by now.
func (c *configurationWatch) look(entry, starts int, asked configured, status int, due bool) string {
	if c.starts[entry] != starts {
		c.starts[entry], c.served[entry] = starts, 0
	}
	switch {
	case status == http.StatusOK:
		c.served[entry] = max(c.served[entry], asked.number)
	case status != http.StatusNotFound:
	case c.served[entry] >= asked.number:
		return fmt.Sprintf("entry %d went back behind configuration %d", entry, asked.number)
	case due:
		return fmt.Sprintf("entry %d does not know configuration %d in time", entry, asked.number)
	}
	return ""
}
