// Package picking declares what a picker sees of the targets.
package picking
