// Package target holds the connections to targets and carries one exchange at a time over each.
package target
