// Package stall notices that this process did not run for a while, so that what it knows may be out of date.
package stall
