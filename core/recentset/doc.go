// Package recentset remembers, in bounded memory, which keys were added lately.
package recentset
