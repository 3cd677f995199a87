// Package memberlife is the state machine of another entry as this one sees it.
package memberlife
