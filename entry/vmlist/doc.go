// Package vmlist reads the platform's list of VMs, which lags behind the actual state.
package vmlist
