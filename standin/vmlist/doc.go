// Package vmlist simulates the platform's list of VMs, whose changes readers see after a lag.
package vmlist
