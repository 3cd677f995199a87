// Package table is an in-memory table with transactions that simulates the table service of the platform.
package table
