// Package memberstate is the state machine of another entry as this entry sees it.
package memberstate
