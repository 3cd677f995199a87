// Package powerofd picks the cheapest of a few targets drawn at random.
package powerofd
