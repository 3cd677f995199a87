package balancer

import (
	"hash/fnv"
	"slices"
)

// divide gives each active entry its part of the slots. Entries that agree on who is active agree on the parts without
// a word, and need not guess at each other's load as long as they keep to them; entries that disagree for a while share
// some slots and leave others to overflow.
func (b *Balancer) updateActiveEntries() {
	active := b.listActiveEntries()
	if slices.Equal(active, b.active) {
		return
	}
	b.active = active
	b.assignSlots()
}

// activeEntries returns, in order, the names of the entries that have sent to the service lately, this one included.
func (b *Balancer) listActiveEntries() []string {
	active := []string{b.Self}
	for name := range b.peers {
		active = append(active, name)
	}
	slices.Sort(active)
	return active
}

// allot counts off the slots of all targets among the active entries.
func (b *Balancer) assignSlots() {
	position := slices.Index(b.active, b.Self)
	slot := slotOffset(b.service.Name)
	for _, t := range b.targets {
		t.ownSlots = 0
		if t.removed {
			continue
		}
		for range b.service.Slots {
			if slot%len(b.active) == position {
				t.ownSlots++
			}
			slot++
		}
		t.configure(b.service, len(b.active))
	}
	b.rebuildFreeList()
}

// offset lets the parts of different services begin at different entries, so that no entry has the larger part of each.
func slotOffset(service string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service))
	return int(hash.Sum32() >> 1)
}

// relist finds the targets where this entry has a slot of its own free.
func (b *Balancer) rebuildFreeList() {
	b.freeTargets = b.freeTargets[:0]
	for i, t := range b.targets {
		t.index, t.freeIndex = i, -1
		b.addToFreeList(t)
	}
}

func (b *Balancer) addToFreeList(t *target) {
	if t.removed || t.freeIndex >= 0 || t.load.Own() >= t.ownSlots {
		return
	}
	t.freeIndex = len(b.freeTargets)
	b.freeTargets = append(b.freeTargets, t.index)
}

// delist moves the last of the list into the place that becomes free.
func (b *Balancer) removeFromFreeList(t *target) {
	if t.freeIndex < 0 || t.load.Own() < t.ownSlots {
		return
	}
	last := b.freeTargets[len(b.freeTargets)-1]
	b.freeTargets[t.freeIndex] = last
	b.targets[last].freeIndex = t.freeIndex
	b.freeTargets = b.freeTargets[:len(b.freeTargets)-1]
	t.freeIndex = -1
}
