// Package crest measures what is served when the offered load swings beyond capacity and back.
package crest
