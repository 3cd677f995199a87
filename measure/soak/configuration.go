package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// configured is a configuration that the store has taken.
type configured struct {
	number uint64
	prefix string // of the route that it added
	at     time.Time
}

// Configure writes a configuration with one more route for lookups than the one before.
func (w *World) Configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := uint64(2 * (len(w.configured) + 1)) // versions increase in steps
	next := configured{number: number, prefix: fmt.Sprintf("/added-%d/", number)}
	resources := []any{
		route("lookup", "/status/", "safe", "lookups"), route("fee", "/fees/", "non_idempotent", "fees"),
		route(next.prefix, next.prefix, "safe", "lookups"), service("lookups"), service("fees"),
	}
	for _, c := range w.configured {
		resources = append(resources, route(c.prefix, c.prefix, "safe", "lookups"))
	}
	data, err := json.Marshal(map[string]any{"configVersion": number, "resources": resources})
	if err != nil {
		return // the value is made of plain types
	}
	w.Store.Put("op", "config", data)
	next.at = time.Now()
	w.configured = append(w.configured, next)
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"hostname": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2,
	}}
}

func service(name string) map[string]any {
	return map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"healthCheck": "/health", "maxConns": 500,
	}}
}

// newest returns the newest configuration.
func (w *World) newest() configured {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configured[len(w.configured)-1]
}
