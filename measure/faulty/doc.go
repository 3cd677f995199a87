// Package faulty compares pickers while targets and entries fail, one fault at a time and two at once.
package faulty
