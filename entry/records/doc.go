// Package records keeps the operators' records that are in force on this entry up to date, and accepts new ones.
package records
