// Package sockets limits the memory that the kernel uses for the sockets of exchanges.
package sockets
