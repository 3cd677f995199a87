package app

// diffLines returns the lines of both texts, each marked as removed, added or common. It computes the marks from the
// longest common subsequence of the texts.
func diffLines(before, after []string) []string {
	lengths := commonSubsequenceLengths(before, after)
	var lines []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			lines = append(lines, "  "+before[i])
			i, j = i+1, j+1
		case j == len(after) || i < len(before) && lengths[i+1][j] >= lengths[i][j+1]:
			lines = append(lines, "- "+before[i])
			i++
		default:
			lines = append(lines, "+ "+after[j])
			j++
		}
	}
	return lines
}

// commonSubsequenceLengths returns, for each pair of indices, the length of the longest common subsequence of
// before[i:] and after[j:].
func commonSubsequenceLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
