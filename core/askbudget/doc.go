// Package askbudget bounds how many targets one entry asks for their load, over all services.
package askbudget
