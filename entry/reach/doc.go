// Package reach tells whether another process can be reached at all.
package reach
