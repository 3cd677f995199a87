package notation

import (
	"regexp"

	"poplarworks/core/jsonc"
	"poplarworks/core/limits"
	"poplarworks/core/record"
	"poplarworks/core/rule"
	"poplarworks/core/schema1"
	"poplarworks/core/schema2"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

type decoder interface {
	Service(obj *jsonc.Object) *service.Service
	Rule(obj *jsonc.Object) *rule.Rule
	Stop(obj *jsonc.Object) *stop.Stop
	Limits(obj *jsonc.Object) *limits.Limits
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Decode reads one record; the error names file, line and field of every problem.
func Decode(file string, text []byte) (record.Record, error) {
	obj, err := jsonc.Parse(file, text)
	if err != nil {
		return record.Record{}, err
	}
	version, codec := schemaOf(obj)
	if codec == nil {
		return record.Record{}, obj.Err()
	}
	rec := record.Record{Schema: version, Source: text}
	kind := obj.OneOf("kind", string(record.KindService), string(record.KindRule), string(record.KindStop), string(record.KindLimits))
	if !obj.Has("kind") {
		obj.Problem("kind", "expected one of service, rule, stop, limits")
		return record.Record{}, obj.Err()
	}
	rec.Key.Kind = record.Kind(kind)
	decodeBody(&rec, obj, codec)
	obj.Close()
	if !namePattern.MatchString(rec.Key.Name) {
		obj.Problem("name", "expected lower-case letters, digits, dots and hyphens, 63 at most")
	}
	return rec, obj.Err()
}

func schemaOf(obj *jsonc.Object) (int, decoder) {
	switch version := obj.Int("schema", 0, 0, 1_000_000); version {
	case 1:
		return version, schema1.Decoder{}
	case 2:
		return version, schema2.Decoder{}
	default:
		obj.Problem("schema", "expected 1 or 2")
		return version, nil
	}
}

func decodeBody(rec *record.Record, obj *jsonc.Object, codec decoder) {
	switch rec.Key.Kind {
	case record.KindService:
		rec.Service = codec.Service(obj)
		rec.Key.Name = rec.Service.Name
		checkService(obj, rec.Service)
	case record.KindRule:
		rec.Rule = codec.Rule(obj)
		rec.Key.Name = rec.Rule.Name
		checkRule(obj, rec.Rule)
	case record.KindStop:
		rec.Stop = codec.Stop(obj)
		rec.Key.Name = rec.Stop.Name
		checkStop(obj, rec.Stop)
	case record.KindLimits:
		rec.Limits = codec.Limits(obj)
		rec.Key.Name = rec.Limits.Name
	}
}
