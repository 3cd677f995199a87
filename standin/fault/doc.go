// Package fault makes an HTTP handler slow, unavailable or forgetful of its answers.
package fault
