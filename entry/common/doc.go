// Package common provides the settings, logging, metrics and clock that every part of the entry uses.
package common
