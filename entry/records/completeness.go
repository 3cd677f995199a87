package records

// completeness tracks the revision up to which all changes have been received. Changes may arrive out of order.
type completeness struct {
	revision uint64
	aboveGap map[uint64]bool // received revisions above a gap
}

// add records that the change of one revision has been received.
func (c *completeness) add(revision uint64) {
	if revision <= c.revision {
		return
	}
	if c.aboveGap == nil {
		c.aboveGap = map[uint64]bool{}
	}
	c.aboveGap[revision] = true
	c.advance()
}

// raise records that all changes up to the revision have been received.
func (c *completeness) raise(revision uint64) {
	if revision <= c.revision {
		return
	}
	c.revision = revision
	for r := range c.aboveGap {
		if r <= revision {
			delete(c.aboveGap, r)
		}
	}
	c.advance()
}

func (c *completeness) advance() {
	for c.aboveGap[c.revision+1] {
		c.revision++
		delete(c.aboveGap, c.revision)
	}
}
