// Package execlog records which requests the targets ran, so that tests can check guarantees against the record.
package execlog
