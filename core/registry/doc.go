// Package registry tracks the targets that register themselves. It orders changes by version, so that updates may arrive
// in any order.
package registry
