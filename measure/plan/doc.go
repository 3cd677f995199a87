// Package plan says what a fleet consists of.
package plan
