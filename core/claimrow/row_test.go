package claimrow

import (
	"testing"

	"poplarworks/core/answer"
)

func TestEvaluate(t *testing.T) {
	row := func(state State) Row { return Row{Nonce: "other", Fingerprint: []byte("f"), State: state} }
	kept, stored := row(Done), row(Done)
	kept.Answer = &answer.Answer{Status: 200}
	stored.ObjectName = "answers/1"
	own := row(Claimed)
	own.Nonce = "mine"
	another := row(Released)
	another.Fingerprint = []byte("g")
	scenarios := []struct {
		name string
		row  Row
		want Verdict
	}{
		{"the request's own row", own, OwnClaim},
		{"a row that is still claimed", row(Claimed), AskHolder},
		{"a released row", row(Released), Reclaim},
		{"a released row of another request", another, KeyReused},
		{"an answer in the row", kept, Replay},
		{"an answer in the object store", stored, Fetch},
		{"an answer that was not kept", row(Done), AnswerLost},
		{"a state of a newer version", row("sealed"), AskHolder},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := Evaluate(s.row, []byte("f"), "mine"); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}
