package split

import (
	"testing"

	"poplarworks/core/rule"
	"poplarworks/core/weightedservice"
)

func TestSharesFollowWeights(t *testing.T) {
	scenarios := []struct {
		name  string
		parts []weightedservice.WeightedService
		want  map[string]int // requests by service, of 100
	}{
		{"one service", nil, map[string]int{"only": 100}},
		{"nine to one", []weightedservice.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, map[string]int{"a": 90, "b": 10}},
		{"three parts", []weightedservice.WeightedService{{Service: "a", Weight: 2}, {Service: "b", Weight: 1}, {Service: "c", Weight: 1}}, map[string]int{"a": 50, "b": 25, "c": 25}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			splitter := &Splitter{}
			got := map[string]int{}
			for range 100 {
				got[splitter.Service(&rule.Rule{Name: "r", Service: "only", Split: s.parts})]++
			}
			for name, want := range s.want {
				if got[name] != want {
					t.Errorf("got %d requests at %s, want %d", got[name], name, want)
				}
			}
		})
	}
}

func TestChangedWeightsResetShares(t *testing.T) {
	splitter := &Splitter{}
	splitter.Service(&rule.Rule{Name: "r", Split: []weightedservice.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 9}}})
	got := splitter.Service(&rule.Rule{Name: "r", Split: []weightedservice.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}})
	if got != "a" {
		t.Errorf("got %s first, want a", got)
	}
}
