// Package statemachine wraps the state machine library for a single lifecycle.
package statemachine
