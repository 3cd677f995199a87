// Package randompick picks a target at random; it is a baseline for measurements.
package randompick
