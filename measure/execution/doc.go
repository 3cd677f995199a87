// Package execution describes the executions of requests that stand-in targets report.
package execution
