// Package shortlong measures the latency of short lookups while build downloads run that take many times longer.
package shortlong
