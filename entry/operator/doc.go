// Package operator serves the operators' interface: records, planned stops, status, dump and metrics.
package operator
