// Package table speaks to the platform's transactional table service.
package table
