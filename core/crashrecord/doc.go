// Package crashrecord holds the crash of a target by a request, as entries store it.
package crashrecord
