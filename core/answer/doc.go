// Package answer holds a whole answer of a target, so that it can be given again.
package answer
