// Package request describes a request of a caller, as far as balancing decisions need it.
package request
