package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"poplarworks/standin/backend"
)

// configuration is a configuration that was written to the store.
type configuration struct {
	number uint64
	prefix string // path prefix of the route that this configuration added
	text   []byte
	at     time.Time
}

// Configure writes a configuration that has one more route for lookups than the previous one, unless the operator has yet
// to write again what was lost.
func (e *Environment) Configure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.operatorAway {
		return
	}
	number := uint64(2 * (len(e.configurations) + 1)) // versions increase, but not by one
	next := configuration{number: number, prefix: fmt.Sprintf("/added-%d/", number)}
	resources := []any{
		route("lookup", "/status/", "safe", "lookups"), route("fee", "/fees/", "non_idempotent", "fees"),
		route(next.prefix, next.prefix, "safe", "lookups"), service("lookups"), service("fees"),
		splitRoute("crash", backend.CrashPath, "lookups", "fees"),
	}
	for _, c := range e.configurations {
		resources = append(resources, route(c.prefix, c.prefix, "safe", "lookups"))
	}
	data, err := json.Marshal(map[string]any{"configVersion": number, "resources": resources})
	if err != nil {
		return // cannot happen: the value consists of plain types
	}
	e.Store.Put("op", "config", data)
	next.at, next.text = time.Now(), data
	e.configurations = append(e.configurations, next)
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"hostname": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2,
	}}
}

// splitRoute returns a route that distributes its requests evenly among the services.
func splitRoute(name, prefix string, services ...string) map[string]any {
	resource := route(name, prefix, "safe", "")
	spec := resource["spec"].(map[string]any)
	delete(spec, "service")
	var parts []any
	for _, s := range services {
		parts = append(parts, map[string]any{"service": s, "weight": 1})
	}
	spec["trafficSplit"] = parts
	return resource
}

func service(name string) map[string]any {
	return map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"healthCheck": "/health", "maxConns": 500,
	}}
}

// newest returns the configuration that was written last.
func (e *Environment) newest() configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configurations[len(e.configurations)-1]
}
