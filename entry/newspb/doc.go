// Package newspb holds the messages by which one entry relays to another what it reads from the platform's store.
package newspb
