// Package platform serves the stand-ins of the table service, the object store and the VM list over HTTP.
package platform
