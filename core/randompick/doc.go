// Package randompick picks a target at random. It is a baseline for measurements.
package randompick
