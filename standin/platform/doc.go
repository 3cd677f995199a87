// Package platform serves the simulated table service, the object store and the VM list over HTTP.
package platform
