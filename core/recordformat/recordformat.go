package recordformat

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

// decoder reads the fields of one schema. It leaves problems in the object.
type decoder interface {
	Service(obj *jsonc.Object) *service.Service
	Rule(obj *jsonc.Object) *rule.Rule
	Stop(obj *jsonc.Object) *stop.Stop
	Limits(obj *jsonc.Object) *limits.Limits
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Decode decodes and validates one record. The error lists every problem with its file, line and field.
func Decode(file string, text []byte) (record.Record, error) {
	obj, err := jsonc.Parse(file, text)
	if err != nil {
		return record.Record{}, err
	}
	version, dec := schemaOf(obj)
	if dec == nil {
		return record.Record{}, obj.Err()
	}
	rec := record.Record{Schema: version, Source: text}
	kind := obj.OneOf("kind", string(record.KindService), string(record.KindRule), string(record.KindStop), string(record.KindLimits))
	if !obj.Has("kind") {
		obj.Problem("kind", "expected one of service, rule, stop, limits")
		return record.Record{}, obj.Err()
	}
	rec.Key.Kind = record.Kind(kind)
	decodeBody(&rec, obj, dec)
	obj.Close()
	if !namePattern.MatchString(rec.Key.Name) {
		obj.Problem("name", "expected lower-case letters, digits, dots and hyphens, 63 at most")
	}
	return rec, obj.Err()
}

// schemaOf returns the schema version of the record and its decoder, or a nil decoder if the version is not supported.
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

// decodeBody reads and validates the fields of the record's kind.
func decodeBody(rec *record.Record, obj *jsonc.Object, dec decoder) {
	switch rec.Key.Kind {
	case record.KindService:
		rec.Service = dec.Service(obj)
		rec.Key.Name = rec.Service.Name
		checkService(obj, rec.Service)
	case record.KindRule:
		rec.Rule = dec.Rule(obj)
		rec.Key.Name = rec.Rule.Name
		checkRule(obj, rec.Rule)
	case record.KindStop:
		rec.Stop = dec.Stop(obj)
		rec.Key.Name = rec.Stop.Name
		checkStop(obj, rec.Stop)
	case record.KindLimits:
		rec.Limits = dec.Limits(obj)
		rec.Key.Name = rec.Limits.Name
	}
}
