// Package noise simulates how interference of noisy neighbours slows a target down, as a function of time and a seed.
package noise
