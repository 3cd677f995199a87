// Package records keeps the operators' records in force on this entry, and accepts new ones.
package records
