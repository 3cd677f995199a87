package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order sorts the names by a hash of the key and the name. Everyone who knows the same names gets the same order, and
// adding or removing a name does not change the order of the others.
func Order(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, a), weight(key, b)), cmp.Compare(a, b))
	})
	return ordered
}

func weight(key, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key + "\x00" + name)) // hash.Hash.Write never returns an error
	// The last bytes of the input barely affect the high bits of an FNV hash, so the hash is mixed once more.
	w := hash.Sum64()
	w ^= w >> 33
	w *= 0xff51afd7ed558ccd
	return w ^ w>>33
}
