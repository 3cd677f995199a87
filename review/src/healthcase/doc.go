// Command healthcase sends filings while one server says that it is ill and some servers answer twice, and looks for
// filings that have run although their client was told that they have not.
package main
