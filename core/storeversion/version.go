package storeversion

import "fmt"

const numberBits = 48 // a thousand transactions a second use this many numbers up in nine thousand years

// Version is a version of the store's content. A store that is restored from a copy gives out the same numbers again, but
// in a new era, so that versions of a later era are newer whatever their numbers. Versions are compared with < and >.
type Version uint64

// New returns the version with the given number of an era.
func New(era, number uint64) Version {
	return Version(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns how often the store has been restored, counted as the store does.
func (v Version) Era() uint64 {
	return uint64(v) >> numberBits
}

// Number returns the number that the store gave the version in its era.
func (v Version) Number() uint64 {
	return uint64(v) & (1<<numberBits - 1)
}

// String returns the era and the number, separated by a dot.
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Era(), v.Number())
}
