package balancer

import (
	"hash/fnv"
	"slices"
)

// updateActiveEntries assigns the slots again if the set of active entries has changed. Entries that agree on the set
// compute the same shares without communication, and need no estimate of each other's load as long as they stay within
// them. While entries disagree, some slots are in several shares, and slots in no share get only overflow.
func (b *Balancer) updateActiveEntries() {
	active := b.listActiveEntries()
	if slices.Equal(active, b.active) {
		return
	}
	b.active = active
	b.assignSlots()
}

// listActiveEntries returns the sorted names of the entries that have recently sent to the service, including this one.
func (b *Balancer) listActiveEntries() []string {
	active := []string{b.Self}
	for name := range b.peers {
		active = append(active, name)
	}
	slices.Sort(active)
	return active
}

// assignSlots divides the slots of all targets among the active entries, round robin.
func (b *Balancer) assignSlots() {
	position := slices.Index(b.active, b.Self)
	slot := slotOffset(b.service.Name)
	for _, t := range b.targets {
		t.ownSlots = 0
		if t.removed {
			continue
		}
		next := slot + b.service.Slots
		t.ownSlots = slotsBelow(next, len(b.active), position) - slotsBelow(slot, len(b.active), position)
		slot = next
		t.configure(b.service, len(b.active))
	}
	b.rebuildFreeList()
}

// slotsBelow returns how many of the slots from zero up to the given number fall to the entry at the position.
func slotsBelow(slot, entries, position int) int {
	return (slot - position + entries - 1) / entries
}

// slotOffset returns the first slot number of a service. It differs by service, so that the larger shares do not all
// go to the same entry.
func slotOffset(service string) int {
	return int(hashName(service) >> 1)
}

// hashName returns a number that depends on the name alone, so that all entries compute the same.
func hashName(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// rebuildFreeList lists the targets where this entry has a free slot in its own share.
func (b *Balancer) rebuildFreeList() {
	b.freeTargets = b.freeTargets[:0]
	for i, t := range b.targets {
		t.index, t.freeIndex = i, -1
		b.addToFreeList(t)
	}
}

// addToFreeList adds the target if it has a free slot in this entry's share and is not listed yet.
func (b *Balancer) addToFreeList(t *target) {
	if t.removed || t.freeIndex >= 0 || t.load.OwnInFlight() >= t.ownSlots {
		return
	}
	t.freeIndex = len(b.freeTargets)
	b.freeTargets = append(b.freeTargets, t.index)
}

// removeFromFreeList removes the target if its share is used up, and moves the last element of the list into its
// position.
func (b *Balancer) removeFromFreeList(t *target) {
	if t.freeIndex < 0 || t.load.OwnInFlight() < t.ownSlots {
		return
	}
	last := b.freeTargets[len(b.freeTargets)-1]
	b.freeTargets[t.freeIndex] = last
	b.targets[last].freeIndex = t.freeIndex
	b.freeTargets = b.freeTargets[:len(b.freeTargets)-1]
	t.freeIndex = -1
}
