// Package link puts a fault-injecting proxy into a connection.
package link
