// Package settings reads and checks the settings file of an entry.
package settings
