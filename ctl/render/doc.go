// Package render prints answers as tables or JSON.
package render
