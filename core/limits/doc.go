// Package limits describes how much of the platform the system may use.
package limits
