// Package trouble describes the faults to inject into the stand-in platform and the stand-in targets.
package trouble
