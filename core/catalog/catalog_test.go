package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"poplarworks/core/record"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

func ruleRecord(revision uint64, r rule.Rule) record.Record {
	return record.Record{Key: record.Key{Kind: record.KindRule, Name: r.Name}, Revision: revision, Rule: &r}
}

func serviceRecord(revision uint64, name string, targets ...string) record.Record {
	s := service.Service{Name: name}
	for _, t := range targets {
		s.Targets = append(s.Targets, service.Target{Name: t})
	}
	return record.Record{Key: record.Key{Kind: record.KindService, Name: name}, Revision: revision, Service: &s}
}

func TestRecordsNeverRevertInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type write struct {
			name     string
			revision uint64
			deleted  bool
		}
		draw := rapid.Custom(func(t *rapid.T) write {
			return write{
				name:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
				revision: rapid.Uint64Range(1, 20).Draw(t, "revision"),
				deleted:  rapid.Bool().Draw(t, "deleted"),
			}
		})
		c := &Catalog{}
		highest := map[string]uint64{}
		for _, w := range rapid.SliceOf(draw).Draw(t, "writes") {
			rec := ruleRecord(w.revision, rule.Rule{Name: w.name, PathPrefix: "/" + w.name})
			rec.Deleted = w.deleted
			before, _ := c.Get(rec.Key)
			applied := c.Apply(rec)
			if want := w.revision > before.Revision; applied != want {
				t.Fatalf("got applied %t for revision %d over %d, want %t", applied, w.revision, before.Revision, want)
			}
			highest[w.name] = max(highest[w.name], w.revision)
			held, _ := c.Get(rec.Key)
			if held.Revision != highest[w.name] {
				t.Fatalf("got revision %d in force, want %d", held.Revision, highest[w.name])
			}
			if _, matched := c.Match("", "GET", "/"+w.name); matched == held.Deleted {
				t.Fatalf("got matched %t for a record that is deleted %t", matched, held.Deleted)
			}
		}
	})
}

func TestTheMostSpecificRuleMatches(t *testing.T) {
	c := &Catalog{}
	rules := []rule.Rule{
		{Name: "all", PathPrefix: "/"},
		{Name: "fees", PathPrefix: "/fees"},
		{Name: "fees-post", PathPrefix: "/fees", Methods: []string{"POST"}},
		{Name: "host", Host: "h.example", PathPrefix: "/"},
	}
	for i, r := range rules {
		c.Apply(ruleRecord(uint64(i+1), r))
	}
	scenarios := []struct {
		name               string
		host, method, path string
		want               string
	}{
		{"an exact prefix", "x", "GET", "/fees", "fees"},
		{"below the prefix", "x", "GET", "/fees/7", "fees"},
		{"another segment with the same beginning", "x", "GET", "/feesheet", "all"},
		{"a method", "x", "POST", "/fees", "fees-post"},
		{"a host takes precedence over a path", "H.example", "POST", "/fees", "host"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, ok := c.Match(s.host, s.method, s.path)
			if !ok || got.Name != s.want {
				t.Errorf("got %q, want %q", got.Name, s.want)
			}
		})
	}
}

func TestConflictsAreRefused(t *testing.T) {
	c := &Catalog{}
	c.Apply(serviceRecord(1, "s", "a"))
	c.Apply(ruleRecord(2, rule.Rule{Name: "one", Service: "s", PathPrefix: "/x", Methods: []string{"GET", "HEAD"}}))
	deleted := serviceRecord(0, "s")
	deleted.Deleted = true
	scenarios := []struct {
		name string
		rec  record.Record
		want string
	}{
		{"an overlapping rule", ruleRecord(0, rule.Rule{Name: "two", Service: "s", PathPrefix: "/x", Methods: []string{"GET"}}), "overlaps rule one"},
		{"the same rule again", ruleRecord(0, rule.Rule{Name: "one", Service: "s", PathPrefix: "/x", Methods: []string{"GET"}}), ""},
		{"a more specific rule", ruleRecord(0, rule.Rule{Name: "two", Service: "s", PathPrefix: "/x/y"}), ""},
		{"a rule without methods beside one with", ruleRecord(0, rule.Rule{Name: "two", Service: "s", PathPrefix: "/x"}), ""},
		{"a rule with an unknown service", ruleRecord(0, rule.Rule{Name: "two", Service: "t", PathPrefix: "/z"}), "there is no service t"},
		{"the deletion of a service in use", deleted, "is used by rule one"},
		{
			"a stop of an unknown target",
			record.Record{Key: record.Key{Kind: record.KindStop}, Stop: &stop.Stop{Service: "s", Target: "b"}},
			"has no target b",
		},
		{
			"a second limits record",
			record.Record{Key: record.Key{Kind: record.KindLimits, Name: "other"}},
			"the one limits record is called default",
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := c.Check(s.rec)
			if s.want == "" {
				if err != nil {
					t.Errorf("got %v, want no error", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), s.want) {
				t.Errorf("got %v, want it to contain %q", err, s.want)
			}
		})
	}
}

// BenchmarkWithServices measures the work that an entry does for every change of a target, with a configuration of
// thousands of rules.
func BenchmarkWithServices(b *testing.B) {
	records := make([]record.Record, 2000)
	for i := range records {
		name := fmt.Sprintf("rule-%d", i)
		records[i] = record.Record{Key: record.Key{Kind: record.KindRule, Name: name}, Rule: &rule.Rule{Name: name, Service: "s"}}
	}
	rules := FromRecords(records)
	added := []record.Record{{Key: record.Key{Kind: record.KindService, Name: "s"}, Service: &service.Service{Name: "s"}}}
	for b.Loop() {
		if got := len(rules.WithServices(added).Services()); got != 1 {
			b.Fatalf("got %d services, want 1", got)
		}
	}
}

func TestWithServicesReplacesServicesAndKeepsRules(t *testing.T) {
	named := func(name string) record.Record {
		return record.Record{Key: record.Key{Kind: record.KindService, Name: name}, Revision: 7, Service: &service.Service{Name: name}}
	}
	rules := FromRecords([]record.Record{{Key: record.Key{Kind: record.KindRule, Name: "r"}, Revision: 5, Rule: &rule.Rule{Name: "r", Service: "a"}}})
	first := rules.WithServices([]record.Record{named("a"), named("b")})
	second := first.WithServices([]record.Record{named("b")})
	scenarios := []struct {
		name    string
		catalog *Catalog
		want    []string
	}{
		{"the rules alone", rules, nil},
		{"two services", first, []string{"a", "b"}},
		{"one is gone", second, []string{"b"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var got []string
			for _, held := range s.catalog.Services() {
				got = append(got, held.Name)
			}
			slices.Sort(got)
			if !slices.Equal(got, s.want) {
				t.Errorf("got services %v, want %v", got, s.want)
			}
			if r, ok := s.catalog.Match("", "GET", ""); !ok || r.Name != "r" {
				t.Errorf("got rule %q, want r", r.Name)
			}
		})
	}
}
