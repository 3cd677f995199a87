// Package examples holds a commented record of each kind and schema.
package examples
