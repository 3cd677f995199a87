package catalog

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"poplarworks/core/limits"
	"poplarworks/core/record"
	"poplarworks/core/requestpath"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

// Catalog is the set of records in force. It is not safe for concurrent use.
type Catalog struct {
	records  map[record.Key]record.Record
	rules    []rule.Rule
	revision uint64
}

// Apply stores the record if its revision is higher than the current one for its key, and reports whether it did.
func (c *Catalog) Apply(rec record.Record) bool {
	current, ok := c.records[rec.Key]
	if ok && current.Revision >= rec.Revision {
		return false
	}
	if c.records == nil {
		c.records = map[record.Key]record.Record{}
	}
	c.records[rec.Key] = rec
	c.revision = max(c.revision, rec.Revision)
	if rec.Key.Kind == record.KindRule {
		c.sortRules()
	}
	return true
}

// sortRules rebuilds the list of rules, most specific first. Their prefixes are normalised like the paths of requests.
func (c *Catalog) sortRules() {
	c.rules = c.rules[:0:0]
	for _, rec := range c.records {
		if rec.Rule != nil && !rec.Deleted {
			r := *rec.Rule
			r.PathPrefix = requestpath.Normalise(r.PathPrefix)
			c.rules = append(c.rules, r)
		}
	}
	slices.SortFunc(c.rules, func(a, b rule.Rule) int {
		if a.MoreSpecificThan(b) {
			return -1
		}
		return 1
	})
}

// Clone returns a copy that can be changed independently of this one.
func (c *Catalog) Clone() *Catalog {
	return &Catalog{records: maps.Clone(c.records), rules: slices.Clone(c.rules), revision: c.revision}
}

// Revision returns the highest revision applied.
func (c *Catalog) Revision() uint64 {
	return c.revision
}

// Get returns the record with the key. The record may be a tombstone.
func (c *Catalog) Get(key record.Key) (record.Record, bool) {
	rec, ok := c.records[key]
	return rec, ok
}

// All returns every record, including tombstones, ordered by revision.
func (c *Catalog) All() []record.Record {
	return c.filter(func(record.Record) bool { return true })
}

// filter returns the records that match, ordered by revision. It sorts only these, since there may be thousands of
// others.
func (c *Catalog) filter(match func(rec record.Record) bool) []record.Record {
	var all []record.Record
	for _, rec := range c.records {
		if match(rec) {
			all = append(all, rec)
		}
	}
	slices.SortFunc(all, func(a, b record.Record) int {
		if a.Revision != b.Revision {
			return compareRevisions(a.Revision, b.Revision)
		}
		return strings.Compare(string(a.Key.Kind)+a.Key.Name, string(b.Key.Kind)+b.Key.Name)
	})
	return all
}

func compareRevisions(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// Match returns the most specific rule that matches a request.
func (c *Catalog) Match(host, method, path string) (rule.Rule, bool) {
	for _, r := range c.rules {
		if r.Matches(host, method, path) {
			return r, true
		}
	}
	return rule.Rule{}, false
}

// Services returns the services in force.
func (c *Catalog) Services() []service.Service {
	var list []service.Service
	for _, rec := range c.filter(func(rec record.Record) bool { return rec.Service != nil && !rec.Deleted }) {
		list = append(list, *rec.Service)
	}
	return list
}

// Stops returns all planned stops, whether or not they have begun.
func (c *Catalog) Stops() []stop.Stop {
	var list []stop.Stop
	for _, rec := range c.filter(func(rec record.Record) bool { return rec.Stop != nil && !rec.Deleted }) {
		list = append(list, *rec.Stop)
	}
	return list
}

// Limits returns the limits in force, or the defaults if no limits record exists.
func (c *Catalog) Limits() limits.Limits {
	rec, ok := c.records[record.Key{Kind: record.KindLimits, Name: limits.Default().Name}]
	if !ok || rec.Deleted || rec.Limits == nil {
		return limits.Default()
	}
	return *rec.Limits
}

// Check returns an error if a record that is about to be written conflicts with those in force.
func (c *Catalog) Check(rec record.Record) error {
	if rec.Deleted {
		return c.checkDelete(rec.Key)
	}
	switch rec.Key.Kind {
	case record.KindRule:
		return c.checkRule(*rec.Rule)
	case record.KindStop:
		return c.checkStop(*rec.Stop)
	case record.KindLimits:
		if rec.Key.Name != limits.Default().Name {
			return errors.New("name: the one limits record is called default")
		}
	case record.KindService:
	}
	return nil
}

func (c *Catalog) checkDelete(key record.Key) error {
	if key.Kind != record.KindService {
		return nil
	}
	for _, r := range c.rules {
		if r.Service == key.Name {
			return errors.Newf("service %s is used by rule %s", key.Name, r.Name)
		}
	}
	return nil
}

func (c *Catalog) checkRule(r rule.Rule) error {
	if c.service(r.Service) == nil {
		return errors.Newf("service: there is no service %s", r.Service)
	}
	for _, other := range c.rules {
		if other.Name != r.Name && r.Overlaps(other) {
			return errors.Newf("match: overlaps rule %s, and neither is more specific", other.Name)
		}
	}
	return nil
}

func (c *Catalog) checkStop(s stop.Stop) error {
	if s.Entry != "" {
		return nil
	}
	svc := c.service(s.Service)
	if svc == nil {
		return errors.Newf("target: there is no service %s", s.Service)
	}
	if !slices.ContainsFunc(svc.Targets, func(t service.Target) bool { return t.Name == s.Target }) {
		return errors.Newf("target: service %s has no target %s", s.Service, s.Target)
	}
	return nil
}

func (c *Catalog) service(name string) *service.Service {
	rec, ok := c.records[record.Key{Kind: record.KindService, Name: name}]
	if !ok || rec.Deleted {
		return nil
	}
	return rec.Service
}

// FromRecords returns a catalog of the records. Each key must occur only once.
func FromRecords(records []record.Record) *Catalog {
	c := &Catalog{records: make(map[record.Key]record.Record, len(records))}
	for _, rec := range records {
		c.records[rec.Key] = rec
		c.revision = max(c.revision, rec.Revision)
	}
	c.sortRules()
	return c
}

// WithServices returns a catalog whose services are replaced by those of the records. It shares the sorted rules with
// this catalog, since they do not change.
func (c *Catalog) WithServices(records []record.Record) *Catalog {
	next := &Catalog{records: maps.Clone(c.records), rules: c.rules, revision: c.revision}
	maps.DeleteFunc(next.records, func(key record.Key, _ record.Record) bool { return key.Kind == record.KindService })
	for _, rec := range records {
		next.records[rec.Key] = rec
		next.revision = max(next.revision, rec.Revision)
	}
	return next
}
