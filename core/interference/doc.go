// Package interference tells a target that neighbours slow down for a moment from one that is slow for good.
package interference
