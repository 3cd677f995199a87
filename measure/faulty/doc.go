// Package faulty compares pickers under faults of targets and entries, injected singly and in pairs.
package faulty
