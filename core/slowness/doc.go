// Package slowness scores how much slower than its peers a target answers at present.
package slowness
