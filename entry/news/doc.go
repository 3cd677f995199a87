// Package news carries what one entry reads at the platform's store to the others of its data centre.
package news
