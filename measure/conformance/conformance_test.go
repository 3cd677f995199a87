package conformance

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func TestSeededRunsFindNoDifference(t *testing.T) {
	e, err := newEnvironment(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer e.stop()
	for seed := range uint64(10) {
		r := &run{ctx: t.Context(), environment: e, seed: 1001 + seed, checks: 3, out: os.Stdout}
		if !r.do() {
			t.Errorf("seed %d: %s", r.seed, r.first)
		}
		if r.played.Load() == 0 {
			t.Errorf("seed %d: no exchange was played", r.seed)
		}
	}
}

// Each scenario plants one difference, which must be found. This guards against checks that can never fail.
func TestPlantedDifferencesAreFound(t *testing.T) {
	const salt = 7
	lookup := exchange{
		method: "POST", path: "/lookup/1", request: message{size: 100, framing: byChunks, content: plainContent, pieces: 1}, readFirst: 100, readsOn: true,
		status: 200, answer: message{size: 2000, framing: byLength, content: protocolContent, pieces: 1}, breakAfter: -1,
	}
	once, early, broken := lookup, lookup, lookup
	once.path = "/once/1"
	early.readFirst = 10
	broken.breakAfter = 1000
	answer, request := lookup.answer.body(salt), lookup.request.body(salt)
	reply200 := func(body []byte) reply { return reply{status: 200, answer: "7", body: body} }
	arrived := func(path string) arrival {
		return arrival{service: mainService, method: "POST", uri: path, body: request}
	}
	cut := func(a arrival, size int) arrival {
		a.body, a.err = a.body[:size], errors.New("unexpected EOF")
		return a
	}
	changed := append(append([]byte{}, answer[:1000]...), append([]byte("Poplar-Code: 1001"), answer[1000:]...)...)
	other := arrived("/lookup/1")
	other.service = otherService
	missing := arrived("/lookup/1")
	missing.body = append(append([]byte{}, request[:40]...), request[50:]...)
	scenarios := []struct {
		name     string
		x        exchange
		got      reply
		arrivals []arrival
		want     string // empty if nothing differs
	}{
		{"nothing", lookup, reply200(answer), []arrival{arrived("/lookup/1")}, ""},
		{"a repetition", lookup, reply200(answer), []arrival{arrived("/lookup/1"), arrived("/lookup/1")}, ""},
		{"bytes put into the answer", lookup, reply200(changed), []arrival{arrived("/lookup/1")}, "differs from byte 1000"},
		{"an answer that is cut off", lookup, reply{status: 200, answer: "7", body: answer[:10], err: errors.New("cut")}, []arrival{arrived("/lookup/1")}, "no whole answer"},
		{"a short answer that looks complete", lookup, reply200(answer[:10]), []arrival{arrived("/lookup/1")}, "differs from byte 10"},
		{"the answer to another request", lookup, reply{status: 200, answer: "8", body: answer}, []arrival{arrived("/lookup/1")}, "of answer \"8\""},
		{"another status", lookup, reply{status: 201, answer: "7", body: answer}, []arrival{arrived("/lookup/1")}, "status 201"},
		{"a refusal", lookup, reply{status: 503, code: "2001"}, nil, "refusal 2001"},
		{"bytes after the answer", lookup, reply{status: 200, answer: "7", body: answer, surplus: []byte("x")}, []arrival{arrived("/lookup/1")}, "after the answer"},
		{"another path", lookup, reply200(answer), []arrival{arrived("/lookup/%31")}, "got POST /lookup/%31"},
		{"another service", lookup, reply200(answer), []arrival{other}, "arrived at service other"},
		{"no request", lookup, reply200(answer), nil, "got no request"},
		{"a body without its middle", lookup, reply200(answer), []arrival{missing}, "differs from byte 40"},
		{"a body that is cut off", lookup, reply200(answer), []arrival{cut(arrived("/lookup/1"), 50)}, "is cut off"},
		{"a body that is cut off after an early answer", early, reply200(answer), []arrival{cut(arrived("/lookup/1"), 50)}, ""},
		{"other bytes before the cut", early, reply200(answer), []arrival{cut(missing, 60)}, "other bytes"},
		{"an execution too many", once, reply200(answer), []arrival{arrived("/once/1"), arrived("/once/1")}, "ran 2 times"},
		{"a broken answer that is refused", broken, reply{status: 502, code: "4001"}, []arrival{arrived("/lookup/1")}, ""},
		{"a broken answer that looks complete", broken, reply200(answer[:1000]), []arrival{arrived("/lookup/1")}, "whole answer"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := strings.Join(differences(s.x, salt, mainService, s.got, s.arrivals), "; ")
			if (s.want == "") != (got == "") || !strings.Contains(got, s.want) {
				t.Errorf("got %q, want %q", got, s.want)
			}
		})
	}
}
