// Package probe queries the load of one target.
package probe
