// Package stop describes a planned stop of a target or of an entry.
package stop
