// Package configuration describes everything that an operator has set, in one version.
package configuration
