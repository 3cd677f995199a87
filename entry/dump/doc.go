// Package dump writes the state of this entry as JSON, in enough detail to explain its decisions.
package dump
