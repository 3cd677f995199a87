// Package configuration describes one version of all rules and services that operators have configured.
package configuration
