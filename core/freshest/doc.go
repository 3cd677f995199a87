// Package freshest picks the cheapest of the targets whose load has just been reported.
package freshest
