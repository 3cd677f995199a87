// Package dispatch runs one balancer for each service: it serialises its decisions, drives its timers, and lets
// requests wait for a decision.
package dispatch
