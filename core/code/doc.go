// Package code numbers the results that the system gives to callers and operators.
package code
