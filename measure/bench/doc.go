// Package bench starts the fleet for the experiments that use the Registry's status reading service.
package bench
