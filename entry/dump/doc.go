// Package dump writes the state of this entry as JSON, complete enough to explain its decisions.
package dump
