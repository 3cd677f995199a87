// Package chaos runs callers, operators and faults against a fleet at random, and holds what came of it against the
// promises of the brief.
package chaos
