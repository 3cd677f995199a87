// Package breaker answers at once while a service is down, and looks now and then whether it is back.
package breaker
