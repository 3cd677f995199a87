// Package loadprobe probes a few targets for their load right before one of them is chosen.
package loadprobe
