// Package loadgen generates open-loop load: its rate does not depend on how fast responses arrive.
package loadgen
