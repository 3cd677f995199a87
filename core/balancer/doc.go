// Package balancer decides for one service which target each request goes to, whether the request is queued first, and
// whether it is refused.
package balancer
