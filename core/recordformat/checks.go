package recordformat

import (
	"net/netip"
	"strings"

	"poplarworks/core/jsonc"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

func checkService(obj *jsonc.Object, s *service.Service) {
	if len(s.Targets) == 0 {
		obj.Problem("targets", "expected at least one target")
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, t := range s.Targets {
		if !t.Address.IsValid() || t.Address.Port() == 0 {
			obj.Problem("targets", "expected an address with a port for target "+t.Name)
			continue
		}
		if names[t.Name] {
			obj.Problem("targets", "expected each target once, got "+t.Name+" twice")
		}
		if addresses[t.Address] {
			obj.Problem("targets", "expected each address once, got "+t.Address.String()+" twice")
		}
		names[t.Name], addresses[t.Address] = true, true
	}
	if s.ProbePath != "" && !strings.HasPrefix(s.ProbePath, "/") {
		obj.Problem("probe", "expected a path that begins with a slash")
	}
	if s.ConnectionsPerEntry() < 1 {
		obj.Problem("capacity", "expected at least one connection for each entry")
	}
}

func checkRule(obj *jsonc.Object, r *rule.Rule) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		obj.Problem("match", "expected a path that begins with a slash")
	}
	for _, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) || strings.ContainsAny(m, " \t\r\n") {
			obj.Problem("match", "expected methods in capitals, got "+m)
		}
	}
	if !r.Idempotent && r.KeyHeader == "" {
		obj.Problem("idempotency-key", "expected a header name")
	}
	if !r.Idempotent && r.HedgeRatio > 0 {
		obj.Problem("hedge", "expected no hedging for a rule that is not idempotent")
	}
}

func checkStop(obj *jsonc.Object, s *stop.Stop) {
	target, entry := s.Target != "" || s.Service != "", s.Entry != ""
	if target == entry {
		obj.Problem("target", "expected either a target or an entry")
	}
	if target && (s.Target == "" || s.Service == "") {
		obj.Problem("target", "expected both the service and the name of the target")
	}
}
