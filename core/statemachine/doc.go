// Package statemachine holds one lifecycle by the rules of the state machine library.
package statemachine
