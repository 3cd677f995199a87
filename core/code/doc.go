// Package code defines the numbered result codes that callers and operators receive.
package code
