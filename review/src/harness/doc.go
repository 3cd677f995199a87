// Package harness starts entries of the project as processes and stands in for the platform, the servers and the
// clients of a review case.
package harness
