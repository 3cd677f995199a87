package schema2

import (
	"time"

	"poplarworks/core/jsonc"
	"poplarworks/core/limits"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

// Limits of the values in a record.
const (
	maxTargets    = 4096
	maxCount      = 1_000_000
	maxBodyBytes  = 1 << 40
	maxAnswerKept = 64 << 20
	maxDeadline   = 24 * time.Hour
	maxRetention  = 365 * 24 * time.Hour
)

// Decoder reads the fields of schema 2.
type Decoder struct{}

// Service reads a service record. It leaves problems in the object.
func (Decoder) Service(obj *jsonc.Object) *service.Service {
	capacity, probe := obj.Object("capacity"), obj.Object("probe")
	s := &service.Service{
		Name:        obj.Required("name"),
		Targets:     targets(obj),
		Slots:       capacity.Int("slots", 4, 1, maxCount),
		Connections: capacity.Int("connections", 200, 1, maxCount),
		MaxEntries:  capacity.Int("max-entries", 18, 1, 10_000),
		ConnectCost: capacity.Duration("connect-cost", time.Millisecond, 0, time.Second),
		ProbePath:   probe.String("path", ""),
		ProbeCost:   probe.Duration("cost", time.Millisecond, time.Microsecond, time.Second),
		ProbeBudget: probe.Duration("budget", 0, 0, time.Minute),
		LoadHeader:  obj.String("load-header", ""),
		DrainHeader: obj.String("drain-header", ""),
		SlowStart:   obj.Duration("ramp", 5*time.Second, 0, time.Hour),
	}
	capacity.Close()
	probe.Close()
	return s
}

func targets(obj *jsonc.Object) []service.Target {
	var list []service.Target
	for _, o := range obj.Objects("targets") {
		list = append(list, service.Target{
			Name:       o.Required("name"),
			Address:    o.AddrPort("address"),
			DataCentre: o.String("data-centre", ""),
		})
		o.Close()
	}
	if len(list) > maxTargets {
		obj.Problem("targets", "expected at most 4096 targets")
	}
	return list
}

// Rule reads a rule record. It leaves problems in the object.
func (Decoder) Rule(obj *jsonc.Object) *rule.Rule {
	match, key := obj.Object("match"), obj.Object("idempotency-key")
	retry, hedge, sizeLimits := obj.Object("retry"), obj.Object("hedge"), obj.Object("limits")
	r := &rule.Rule{
		Name:           obj.Required("name"),
		Service:        obj.Required("service"),
		Host:           match.String("host", ""),
		Methods:        match.Strings("methods"),
		PathPrefix:     match.String("path-prefix", "/"),
		Idempotent:     obj.Bool("idempotent", false),
		Class:          rule.Class(obj.OneOf("class", string(rule.Short), string(rule.Long))),
		Priority:       rule.Priority(obj.Int("priority", 0, 0, 9)),
		Deadline:       obj.Duration("deadline", 10*time.Second, time.Millisecond, maxDeadline),
		KeyHeader:      key.String("header", "Idempotency-Key"),
		KeyRequired:    key.Bool("required", true),
		Retention:      key.Duration("retention", 7*24*time.Hour, time.Minute, maxRetention),
		NotRunStatuses: obj.Ints("not-run-statuses", 400, 599),
		RetryRatio:     retry.Float("ratio", 0.1, 0, 1),
		MaxAttempts:    retry.Int("max-attempts", 3, 1, 10),
		HedgeRatio:     hedge.Float("ratio", 0, 0, 0.5),
		MaxBodyBytes:   int64(sizeLimits.Int("body-bytes", 1<<20, 0, maxBodyBytes)),
		MaxAnswerBytes: sizeLimits.Int("answer-bytes", 256<<10, 0, maxAnswerKept),
	}
	for _, o := range []*jsonc.Object{match, key, retry, hedge, sizeLimits} {
		o.Close()
	}
	return r
}

// Stop reads a stop record. It leaves problems in the object.
func (Decoder) Stop(obj *jsonc.Object) *stop.Stop {
	target := obj.Object("target")
	s := &stop.Stop{
		Name:    obj.Required("name"),
		Service: target.String("service", ""),
		Target:  target.String("name", ""),
		Entry:   obj.String("entry", ""),
		At:      obj.Time("at"),
	}
	target.Close()
	return s
}

// Limits reads a limits record. It leaves problems in the object.
func (Decoder) Limits(obj *jsonc.Object) *limits.Limits {
	defaults := limits.Default()
	return &limits.Limits{
		Name:            obj.Required("name"),
		ReadsPerSecond:  obj.Int("reads-per-second", defaults.ReadsPerSecond, 1, maxCount),
		WritesPerSecond: obj.Int("writes-per-second", defaults.WritesPerSecond, 1, maxCount),
		MaxEntries:      obj.Int("max-entries", defaults.MaxEntries, 1, 10_000),
	}
}
