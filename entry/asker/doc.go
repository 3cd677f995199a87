// Package asker asks some targets for their load at the moment at which one is chosen.
package asker
