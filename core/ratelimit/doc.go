// Package ratelimit holds the limit that a target in need sets on its request rate.
package ratelimit
