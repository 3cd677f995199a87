package jsonc

// maxDepth keeps the recursive parser's stack small on hostile input.
const maxDepth = 32

// depth gives an upper bound of the nesting; brackets within strings count too, which errs on the safe side.
func depth(text []byte) int {
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
