// Package table is a client of the platform's transactional table service.
package table
