// Package bucket limits events to a rate.
package bucket
