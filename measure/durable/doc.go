// Package durable measures how fast records come into force, what claims cost, and how a fleet behaves during outages
// of the store, draining and recovery.
package durable
