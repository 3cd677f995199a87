// Package load estimates how many requests a target holds, from own requests in flight and reports that are already old.
package load
