package rank

import (
	"cmp"
	"slices"
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Order sorts the names by a hash of the key and the name. Everyone who knows the same names gets the same order, and
// adding or removing a name does not change the order of the others.
func Order(key string, names []string) []string {
	return OrderFunc(key, names, func(name string) string { return name })
}

// OrderFunc sorts the items as Order sorts their names.
func OrderFunc[T any](key string, items []T, name func(item T) string) []T {
	type weighted struct {
		weight uint64
		index  int
	}
	keyHash := hashBytes(fnvOffset, key+"\x00")
	ranked := make([]weighted, len(items))
	for i, item := range items {
		ranked[i] = weighted{weight: weight(keyHash, name(item)), index: i}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		if a.weight == b.weight {
			return cmp.Compare(name(items[a.index]), name(items[b.index]))
		}
		return cmp.Compare(a.weight, b.weight)
	})
	ordered := make([]T, len(items))
	for i, r := range ranked {
		ordered[i] = items[r.index]
	}
	return ordered
}

// weight continues the hash of the key with the name. The last bytes of the input barely affect the high bits of an FNV
// hash, so the hash is mixed once more.
func weight(keyHash uint64, name string) uint64 {
	w := hashBytes(keyHash, name)
	w ^= w >> 33
	w *= 0xff51afd7ed558ccd
	return w ^ w>>33
}

func hashBytes(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}
