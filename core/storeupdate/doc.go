// Package storeupdate describes the changes of the platform's store that one entry passes on to another.
package storeupdate
