// Package render prints command output as tables or JSON.
package render
