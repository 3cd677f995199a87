// Command routecase sends requests whose paths have an encoded slash while the operator adds a route, and looks for
// requests that have run at a service to which no configuration allows them to go.
package main
