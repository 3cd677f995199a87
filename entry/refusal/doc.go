// Package refusal writes the answers with which the entry itself refuses a request.
package refusal
