// Package quarantine tracks requests that crash targets, so that repeats of them can be refused.
package quarantine
