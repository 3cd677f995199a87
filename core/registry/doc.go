// Package registry follows the targets that register themselves, by versions, whatever order the news comes in.
package registry
