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

// Limits of the numbers in a record, and the values that this schema has no fields for.
const (
	maxCount             = 1_000_000
	maxMilliseconds      = 24 * 60 * 60 * 1000 // one day
	maxBodyBytes         = 1 << 40
	defaultRetention     = 7 * 24 * time.Hour
	defaultMaxAnswerKept = 256 << 10
	defaultRamp          = 5 * time.Second
)

// Decoder reads the fields of schema 1.
type Decoder struct{}

// Service reads a service record. It leaves problems in the object.
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
		SlowStart:   defaultRamp,
	}
}

// milliseconds reads a duration as a number of milliseconds.
func milliseconds(obj *jsonc.Object, name string, fallback, low int) time.Duration {
	return time.Duration(obj.Int(name, fallback, low, maxMilliseconds)) * time.Millisecond
}

// targets reads strings of the form "name=address:port" or "name=address:port@data-centre".
func targets(obj *jsonc.Object) []service.Target {
	var list []service.Target
	for _, text := range obj.Strings("targets") {
		name, rest, _ := strings.Cut(text, "=")
		addressText, dataCentre, _ := strings.Cut(rest, "@")
		address, err := netip.ParseAddrPort(addressText)
		if name == "" || err != nil {
			obj.Problem("targets", `expected entries such as "status-1=127.0.0.1:8081@ikeja"`)
			continue
		}
		list = append(list, service.Target{Name: name, Address: address, DataCentre: dataCentre})
	}
	return list
}

// Rule reads a rule record. It leaves problems in the object.
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
		Retention:      defaultRetention,
		NotRunStatuses: obj.Ints("not-run", 400, 599),
		RetryRatio:     0.1,
		MaxAttempts:    1 + obj.Int("retries", 2, 0, 9),
		MaxBodyBytes:   int64(obj.Int("body-bytes", 1<<20, 0, maxBodyBytes)),
		MaxAnswerBytes: defaultMaxAnswerKept,
	}
	if method := obj.String("method", ""); method != "" {
		r.Methods = []string{method}
	}
	if obj.Bool("long", false) {
		r.Class = rule.Long
	}
	return r
}

// Stop reads a stop record. It leaves problems in the object.
func (Decoder) Stop(obj *jsonc.Object) *stop.Stop {
	return &stop.Stop{
		Name:    obj.Required("name"),
		Service: obj.String("service", ""),
		Target:  obj.String("target", ""),
		Entry:   obj.String("entry", ""),
		At:      obj.Time("at"),
	}
}

// Limits reads a limits record. It leaves problems in the object.
func (Decoder) Limits(obj *jsonc.Object) *limits.Limits {
	defaults := limits.Default()
	return &limits.Limits{
		Name:            obj.Required("name"),
		ReadsPerSecond:  obj.Int("reads", defaults.ReadsPerSecond, 1, maxCount),
		WritesPerSecond: obj.Int("writes", defaults.WritesPerSecond, 1, maxCount),
		MaxEntries:      obj.Int("entries", defaults.MaxEntries, 1, 10_000),
	}
}
