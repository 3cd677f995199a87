// Package limits describes the shares of the platform that the system may use.
package limits
