// Package report describes the load that a target reports.
package report
