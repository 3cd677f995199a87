// Package catalog holds the records in force. A record is replaced only by a higher revision of it.
package catalog
