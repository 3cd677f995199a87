// Package common carries what every part of the entry needs.
package common
