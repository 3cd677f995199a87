// Package refusal writes the answers that the entry itself gives.
package refusal
