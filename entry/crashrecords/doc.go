// Package crashrecords stores the crashes of quarantined requests, so that they outlast the processes of the whole fleet.
package crashrecords
