// Package plan describes the entries and targets of a fleet to start.
package plan
