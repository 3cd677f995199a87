// Package probe asks one target for its load.
package probe
