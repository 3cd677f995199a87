// Package peer connects the entries of a region to each other.
package peer
