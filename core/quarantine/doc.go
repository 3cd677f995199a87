// Package quarantine refuses requests that crash the targets that run them.
package quarantine
