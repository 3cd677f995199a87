// Command reviewcases runs one case of the review against the project's program, with stand-ins of the store, the
// servers and the clients.
package main
