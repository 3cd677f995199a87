// Package fit fits a straight line to measured points.
package fit
