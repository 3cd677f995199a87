// Package settings parses and validates the settings file of an entry.
package settings
