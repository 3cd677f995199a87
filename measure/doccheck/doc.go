// Package doccheck finds exported names and packages without a doc comment.
package doccheck
