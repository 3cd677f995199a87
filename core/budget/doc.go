// Package budget limits extra attempts, such as retries and hedges, to a share of the first attempts.
package budget
