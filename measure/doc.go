// Command measure runs the experiments that docs/MEASUREMENTS.md reports; it is the one program that starts others.
package main
