package balancer

// relist finds the targets without a request of this entry anew.
func (b *Balancer) relist() {
	b.idle = b.idle[:0]
	for i, t := range b.targets {
		t.index = i
		t.idleAt = -1
		if t.load.Own() == 0 && !t.removed {
			b.enlist(t)
		}
	}
}

func (b *Balancer) enlist(t *target) {
	if t.removed || t.idleAt >= 0 {
		return
	}
	t.idleAt = len(b.idle)
	b.idle = append(b.idle, t.index)
}

// delist moves the last of the list into the place that becomes free.
func (b *Balancer) delist(t *target) {
	if t.idleAt < 0 {
		return
	}
	last := b.idle[len(b.idle)-1]
	b.idle[t.idleAt] = last
	b.targets[last].idleAt = t.idleAt
	b.idle = b.idle[:len(b.idle)-1]
	t.idleAt = -1
}
