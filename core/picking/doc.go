// Package picking declares the view of the targets that pickers choose from.
package picking
