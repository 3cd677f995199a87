// Package fairqueue queues requests that wait for a target. It is fair between callers and rules, and drops requests
// whose deadline cannot be met.
package fairqueue
