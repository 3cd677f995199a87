// Package absence tells which listed entries have been silent for so long that they are taken off the list.
package absence
