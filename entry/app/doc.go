// Package app connects the parts of an entry and runs them.
package app
