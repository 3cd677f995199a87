// Package exchange carries one caller's request through rule, claim, target and back.
package exchange
