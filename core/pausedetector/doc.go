// Package pausedetector detects that this process was paused for a while, after which its state may be out of date.
package pausedetector
