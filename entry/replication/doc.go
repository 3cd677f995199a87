// Package replication relays what one entry reads from the platform's store to the other entries of its data centre, so
// that not every entry has to read the store. A leader publishes the updates and its followers receive them.
package replication
