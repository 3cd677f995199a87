// Package table keeps rows in memory and changes them in transactions, as the platform's table service does.
package table
