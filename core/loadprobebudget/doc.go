// Package loadprobebudget limits the rate at which one entry probes targets for their load before it picks one. The
// budget is shared by all services.
package loadprobebudget
