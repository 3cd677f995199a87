// Package freshest picks the target with the lowest cost among those with a fresh load report.
package freshest
