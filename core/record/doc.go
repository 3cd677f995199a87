// Package record describes the records by which operators configure the balancer.
package record
