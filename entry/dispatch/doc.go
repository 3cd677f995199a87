// Package dispatch puts locks, timers and waiting callers round the decisions of each service.
package dispatch
