// Package added measures the time and the processor time that an entry adds to a call.
package added
