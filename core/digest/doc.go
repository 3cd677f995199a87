// Package digest describes the requests in flight that entries report to their peers.
package digest
