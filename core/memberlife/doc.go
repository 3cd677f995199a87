// Package memberlife is the state machine of another entry as this entry sees it.
package memberlife
