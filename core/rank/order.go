package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order sorts names by a hash of each with the key; all who know the same names get the same order, and a name that comes
// or goes does not change the order of the others.
func Order(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, a), weight(key, b)), cmp.Compare(a, b))
	})
	return ordered
}

func weight(key, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key + "\x00" + name)) // a hash never fails
	// The last bytes barely reach the high bits of the hash, so these are mixed once more.
	w := hash.Sum64()
	w ^= w >> 33
	w *= 0xff51afd7ed558ccd
	return w ^ w>>33
}
