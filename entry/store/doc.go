// Package store calls the table service within its budget, and answers at once while the service is down.
package store
