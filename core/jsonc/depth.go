package jsonc

// maxDepth is the deepest nesting that Parse accepts. It bounds the stack of the recursive parser on hostile input.
const maxDepth = 32

// nestingBound returns an upper bound of the nesting depth. Brackets within strings are counted as well, so that it may
// be too high but never too low.
func nestingBound(text []byte) int {
	level, deepest := 0, 0
	for _, b := range text {
		switch b {
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}
