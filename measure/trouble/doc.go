// Package trouble says what is wrong with a part of a fleet.
package trouble
