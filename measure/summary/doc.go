// Package summary is what an entry says of itself.
package summary
