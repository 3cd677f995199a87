package records

// completeness follows up to which revision every change has been seen, although changes may arrive out of order.
type completeness struct {
	revision uint64
	ahead    map[uint64]bool // revisions seen above it
}

func (c *completeness) add(revision uint64) {
	if revision <= c.revision {
		return
	}
	if c.ahead == nil {
		c.ahead = map[uint64]bool{}
	}
	c.ahead[revision] = true
	c.advance()
}

func (c *completeness) raise(revision uint64) {
	if revision <= c.revision {
		return
	}
	c.revision = revision
	for r := range c.ahead {
		if r <= revision {
			delete(c.ahead, r)
		}
	}
	c.advance()
}

func (c *completeness) advance() {
	for c.ahead[c.revision+1] {
		c.revision++
		delete(c.ahead, c.revision)
	}
}
