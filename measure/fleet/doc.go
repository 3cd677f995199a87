// Package fleet starts a platform, targets and entries as processes on loopback addresses of their own, and controls
// them.
package fleet
