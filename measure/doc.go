// Command measure runs the experiments that docs/MEASUREMENTS.md reports. It is the only program that starts other
// programs.
package main
