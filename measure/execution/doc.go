// Package execution is what a stand-in target ran.
package execution
