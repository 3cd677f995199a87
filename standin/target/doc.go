// Package target simulates a target: it has slots, processing costs, load reports that lag, and faults that can be set
// at run time.
package target
