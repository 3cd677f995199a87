// Package vmlist reads the platform's lagging list of VMs.
package vmlist
