// Package conformance plays generated exchanges directly against a target and through entries, and compares what client
// and target see.
package conformance
