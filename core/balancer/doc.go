// Package balancer decides, for the targets of one service, which request goes where and when.
package balancer
