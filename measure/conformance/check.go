package conformance

import (
	"bytes"
	"fmt"
	"strconv"
)

// differences returns what client and targets saw that differs from the exchange as it was to be played, at the service. The
// allowed differences are: fields of one hop and framing; a refusal by the entry, if the exchange is not sound; and a body or
// an answer that can be seen to be cut off, if the answer begins before the end of the request's body.
func differences(x exchange, salt int, service string, got reply, arrivals []arrival) []string {
	var list []string
	add := func(format string, values ...any) { list = append(list, fmt.Sprintf(format, values...)) }
	if len(got.surplus) > 0 {
		add("the client got %d bytes after the answer: %.60q", len(got.surplus), got.surplus)
	}
	switch {
	case got.code != "" && sound(x):
		add("the client got the refusal %s with status %d", got.code, got.status)
	case got.code != "":
	case got.err != nil && sound(x):
		add("the client got no whole answer: status %d, %d bytes, %v", got.status, len(got.body), got.err)
	case got.err == nil && x.breakAfter >= 0 && x.answer.framing != byClose:
		add("the client got a whole answer with status %d and %d bytes of a target that broke off after %d", got.status, len(got.body), x.breakAfter)
	case got.err == nil:
		list = append(list, answerDifferences(x, salt, got)...)
	}
	return append(list, arrivalDifferences(x, salt, service, got, arrivals)...)
}

// sound reports whether the answer of the exchange must reach the client.
func sound(x exchange) bool {
	return x.breakAfter < 0 && !x.begun()
}

func answerDifferences(x exchange, salt int, got reply) []string {
	want := x.answer.body(salt)
	if x.breakAfter >= 0 {
		want = want[:min(len(want), x.breakAfter)]
	}
	if got.status != x.status || got.answer != strconv.Itoa(salt) {
		return []string{fmt.Sprintf("the client got status %d of answer %q, want %d of %d", got.status, got.answer, x.status, salt)}
	}
	return bodyDifference("the client got an answer", got.body, want)
}

func arrivalDifferences(x exchange, salt int, service string, got reply, arrivals []arrival) []string {
	var list []string
	want := x.request.body(salt)
	for _, a := range arrivals {
		if a.method != x.method || sentPath(a.uri) != sentPath(x.path) {
			list = append(list, fmt.Sprintf("the target got %s %s, want %s %s", a.method, a.uri, x.method, sentPath(x.path)))
		}
		if a.service != service {
			list = append(list, fmt.Sprintf("the request for %s arrived at service %s, want %s", x.path, a.service, service))
		}
		switch {
		case a.err == nil && x.readsOn:
			list = append(list, bodyDifference("the target got a body", a.body, want)...)
		case !bytes.HasPrefix(want, a.body):
			list = append(list, "the target got other bytes than those of the body, which was cut off")
		case sound(x) && a.err != nil && got.err == nil && got.code == "" && len(arrivals) == 1:
			list = append(list, fmt.Sprintf("the target got a body that is cut off: %v", a.err))
		}
	}
	if x.isOnce() && len(arrivals) > 1 {
		list = append(list, fmt.Sprintf("the request ran %d times", len(arrivals)))
	}
	if len(arrivals) == 0 && got.code == "" && got.err == nil {
		list = append(list, "the target got no request")
	}
	return list
}

func bodyDifference(what string, got, want []byte) []string {
	if bytes.Equal(got, want) {
		return nil
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	return []string{fmt.Sprintf("%s of %d bytes that differs from byte %d on, want %d bytes", what, len(got), at, len(want))}
}
