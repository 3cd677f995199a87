// Package prober asks targets for their load, within the budget that the core keeps.
package prober
