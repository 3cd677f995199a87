// Package fairqueue holds requests that wait for a target, fair to each caller and rule and bounded by deadlines.
package fairqueue
