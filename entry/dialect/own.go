package dialect

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/entry/refusal"
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

// Own is the project's own interface to callers and targets.
type Own struct {
	Entry string // name of this entry
}

// Left returns how long the caller will wait, if it says so.
func (Own) Left(fields http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(fields.Get(relay.DeadlineHeader), 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Retries reads how many retries the layers before have made.
func (Own) Retries(fields http.Header) int {
	n, err := strconv.Atoi(strings.TrimSpace(fields.Get(relay.AttemptHeader)))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Outgoing sets the fields that tell the target of the request.
func (Own) Outgoing(fields http.Header, s relay.Sending) {
	relay.Forward(fields, s.Host, s.Origin)
	fields.Set(relay.RequestIDHeader, s.ID)
	fields.Set(relay.DeadlineHeader, strconv.FormatInt(max(1, s.Left.Milliseconds()), 10))
	fields.Set(relay.AttemptHeader, strconv.Itoa(s.Retries))
}

// Read returns what an answer says.
func (Own) Read(answer *http.Response, s *service.Service, r *rule.Rule) relay.Signs {
	signs := relay.Signs{
		Draining:   s.DrainHeader != "" && answer.Header.Get(s.DrainHeader) != "",
		Downstream: answer.Header.Get(relay.CodeHeader) != "",
	}
	signs.Report.Running, signs.HasReport = target.ParseLoad(answer.Header.Get(s.LoadHeader))
	if r != nil {
		signs.NotRun = slices.Contains(r.NotRunStatuses, answer.StatusCode) && !doubtful(answer.Header)
	}
	return signs
}

// doubtful reports whether an entry further down says that the request may have run.
func doubtful(fields http.Header) bool {
	run := fields.Get(relay.RunHeader)
	return run != "" && run != string(code.NotRun)
}

// Sign names the entry that answers.
func (o Own) Sign(fields http.Header, id string) {
	fields.Set(relay.EntryHeader, o.Entry)
	if fields.Get(relay.RequestIDHeader) == "" && id != "" {
		fields.Set(relay.RequestIDHeader, id)
	}
}

// Refuse answers the caller.
func (Own) Refuse(w http.ResponseWriter, r refusal.Refusal) {
	r.Write(w)
}

// ReadProbe returns what the answer to a probe says.
func (o Own) ReadProbe(answer *http.Response, s *service.Service, _ service.Target) relay.Signs {
	return o.Read(answer, s, nil)
}
