// Package newspb holds the messages by which one entry tells another what it reads at the platform's store.
package newspb
