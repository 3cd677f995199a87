// Package budget limits extra attempts to a share of first attempts.
package budget
