// Package scenario defines the targets, records and requests of the Registry's deployment.
package scenario
