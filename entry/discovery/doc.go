// Package discovery watches the operator's configuration and the targets' registrations in the platform's store.
package discovery
