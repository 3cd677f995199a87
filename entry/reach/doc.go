// Package reach checks whether another process accepts connections.
package reach
