// Package link provides a TCP proxy that injects network faults.
package link
