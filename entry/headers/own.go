package headers

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

// Protocol implements the protocol with callers and targets that uses Poplar's own header fields.
type Protocol struct {
	Entry string // name of this entry
}

// RemainingTime returns the time that remains until the caller's deadline, if the request has one.
func (Protocol) RemainingTime(fields http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(fields.Get(relay.DeadlineHeader), 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Retries returns the number of retries that earlier layers have made.
func (Protocol) Retries(fields http.Header) int {
	n, err := strconv.Atoi(strings.TrimSpace(fields.Get(relay.AttemptHeader)))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// SetRequestFields sets the header fields of a request to a target.
func (Protocol) SetRequestFields(fields http.Header, s relay.RequestMetadata) {
	relay.Forward(fields, s.Host, s.Origin)
	fields.Set(relay.RequestIDHeader, s.ID)
	fields.Set(relay.DeadlineHeader, strconv.FormatInt(max(1, s.TimeLeft.Milliseconds()), 10))
	fields.Set(relay.AttemptHeader, strconv.Itoa(s.Retries))
}

// ReadResponse returns the signals in the header fields of a target's response.
func (Protocol) ReadResponse(response *http.Response, s *service.Service, r *rule.Rule) relay.ResponseMetadata {
	signs := relay.ResponseMetadata{
		Draining:       s.DrainHeader != "" && response.Header.Get(s.DrainHeader) != "",
		FromDownstream: response.Header.Get(relay.CodeHeader) != "",
	}
	signs.LoadReport.Running, signs.HasReport = target.ParseLoad(response.Header.Get(s.LoadHeader))
	if r != nil {
		signs.NotRun = slices.Contains(r.NotRunStatuses, response.StatusCode) && !mayHaveRun(response.Header)
	}
	return signs
}

// mayHaveRun reports whether a downstream entry says that the request may have run.
func mayHaveRun(fields http.Header) bool {
	run := fields.Get(relay.ExecutionHeader)
	return run != "" && run != string(code.NotRun)
}

// Sign adds the name of this entry and the request id to the response.
func (o Protocol) Sign(fields http.Header, id string) {
	fields.Set(relay.EntryHeader, o.Entry)
	if fields.Get(relay.RequestIDHeader) == "" && id != "" {
		fields.Set(relay.RequestIDHeader, id)
	}
}

// Refuse sends the refusal to the caller.
func (Protocol) Refuse(w http.ResponseWriter, r refusal.Refusal) {
	r.Write(w)
}

// ReadProbe returns the signals in the response to a probe.
func (o Protocol) ReadProbe(response *http.Response, s *service.Service, _ service.Target) relay.ResponseMetadata {
	return o.ReadResponse(response, s, nil)
}
