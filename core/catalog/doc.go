// Package catalog holds the records in force and lets only higher revisions replace them.
package catalog
