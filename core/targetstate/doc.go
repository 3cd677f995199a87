// Package targetstate is the state machine of a target as one entry sees it.
package targetstate
