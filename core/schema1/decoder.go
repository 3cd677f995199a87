package schema1

import (
	"net/netip"
	"strings"
	"time"

	"poplarworks/core/jsonc"
	"poplarworks/core/limits"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

const (
	maxCount        = 1_000_000
	maxMilliseconds = 24 * 60 * 60 * 1000
	maxBodyBytes    = 1 << 40
	retention       = 7 * 24 * time.Hour
	keptBytes       = 256 << 10
	ramp            = 5 * time.Second
)

// Decoder reads the fields of schema 1.
type Decoder struct{}

// Service reads a service record; problems are left in the object.
func (Decoder) Service(obj *jsonc.Object) *service.Service {
	return &service.Service{
		Name:        obj.Required("name"),
		Targets:     targets(obj),
		Slots:       obj.Int("slots", 4, 1, maxCount),
		Connections: obj.Int("connections", 200, 1, maxCount),
		MaxEntries:  obj.Int("entries", 18, 1, 10_000),
		ConnectCost: milliseconds(obj, "connect-cost-ms", 1, 0),
		ProbePath:   obj.String("probe-path", ""),
		ProbeCost:   milliseconds(obj, "probe-cost-ms", 1, 1),
		ProbeBudget: milliseconds(obj, "probe-budget-ms", 0, 0),
		LoadHeader:  obj.String("load-header", ""),
		DrainHeader: obj.String("drain-header", ""),
		Ramp:        ramp,
	}
}

func milliseconds(obj *jsonc.Object, name string, fallback, low int) time.Duration {
	return time.Duration(obj.Int(name, fallback, low, maxMilliseconds)) * time.Millisecond
}

// targets reads entries of the form "name=address:port" or "name=address:port@data-centre".
func targets(obj *jsonc.Object) []service.Target {
	var list []service.Target
	for _, text := range obj.Strings("targets") {
		name, rest, _ := strings.Cut(text, "=")
		place, dataCentre, _ := strings.Cut(rest, "@")
		address, err := netip.ParseAddrPort(place)
		if name == "" || err != nil {
			obj.Problem("targets", `expected entries such as "status-1=127.0.0.1:8081@ikeja"`)
			continue
		}
		list = append(list, service.Target{Name: name, Address: address, DataCentre: dataCentre})
	}
	return list
}

// Rule reads a rule record; problems are left in the object.
func (Decoder) Rule(obj *jsonc.Object) *rule.Rule {
	r := &rule.Rule{
		Name:           obj.Required("name"),
		Service:        obj.Required("service"),
		Host:           obj.String("host", ""),
		PathPrefix:     obj.String("path", "/"),
		Idempotent:     obj.Bool("safe-to-repeat", false),
		Class:          rule.Short,
		Priority:       rule.Priority(obj.Int("priority", 0, 0, 9)),
		Deadline:       milliseconds(obj, "deadline-ms", 10_000, 1),
		KeyHeader:      obj.String("key-header", "Idempotency-Key"),
		KeyRequired:    obj.Bool("key-required", true),
		Retention:      retention,
		NotRunStatuses: obj.Ints("not-run", 400, 599),
		RetryRatio:     0.1,
		MaxAttempts:    1 + obj.Int("retries", 2, 0, 9),
		MaxBody:        int64(obj.Int("body-bytes", 1<<20, 0, maxBodyBytes)),
		MaxAnswerKept:  keptBytes,
	}
	if method := obj.String("method", ""); method != "" {
		r.Methods = []string{method}
	}
	if obj.Bool("long", false) {
		r.Class = rule.Long
	}
	return r
}

// Stop reads a stop record; problems are left in the object.
func (Decoder) Stop(obj *jsonc.Object) *stop.Stop {
	return &stop.Stop{
		Name:    obj.Required("name"),
		Service: obj.String("service", ""),
		Target:  obj.String("target", ""),
		Entry:   obj.String("entry", ""),
		At:      obj.Time("at"),
	}
}

// Limits reads a limits record; problems are left in the object.
func (Decoder) Limits(obj *jsonc.Object) *limits.Limits {
	standard := limits.Default()
	return &limits.Limits{
		Name:            obj.Required("name"),
		ReadsPerSecond:  obj.Int("reads", standard.ReadsPerSecond, 1, maxCount),
		WritesPerSecond: obj.Int("writes", standard.WritesPerSecond, 1, maxCount),
		MaxEntries:      obj.Int("entries", standard.MaxEntries, 1, 10_000),
	}
}
