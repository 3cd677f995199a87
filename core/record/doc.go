// Package record holds one operators' record with its place in the order of writes.
package record
