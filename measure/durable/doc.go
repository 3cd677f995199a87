// Package durable measures what must last: records in force, claims, outages of the store, leaving and recovery.
package durable
