// Package target is a stand-in for a server: it has slots, costs, lagging load reports and faults that can be switched on.
package target
