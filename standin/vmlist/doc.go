// Package vmlist keeps the platform's list of VMs, which readers see with a lag.
package vmlist
