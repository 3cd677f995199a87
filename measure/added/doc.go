// Package added measures the latency and the CPU time that an entry adds to a call.
package added
