// Package shortlong measures short lookups behind build downloads that run many times longer.
package shortlong
