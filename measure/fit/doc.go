// Package fit draws a straight line through measured points.
package fit
