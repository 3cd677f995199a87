// Package operator serves the HTTP interface for operators: records, planned stops, status, dump and metrics.
package operator
