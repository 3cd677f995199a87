// Package absence detects listed entries that have been unreachable for so long that they must be removed from the
// list.
package absence
