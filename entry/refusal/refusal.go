package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"poplarworks/core/code"
	"poplarworks/entry/relay"
)

// Refusal is an answer with which the entry itself refuses a request.
type Refusal struct {
	Code       code.Code
	Execution  code.Execution
	RetryAfter time.Duration
	Detail     string // added to the text of the code
	SendNotRun bool   // whether this send reached no target, although an earlier send of the same request may have run
}

type wireRefusal struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Run    string `json:"run"`
	Text   string `json:"text"`
	Detail string `json:"detail,omitempty"`
}

// Write sends the refusal to the caller, with the code in the header fields and in a JSON body.
func (r Refusal) Write(w http.ResponseWriter) {
	entry := r.Code.Description()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(relay.CodeHeader, strconv.Itoa(int(r.Code)))
	header.Set(relay.ExecutionHeader, string(r.Execution))
	if r.SendNotRun || r.Execution == code.NotRun {
		header.Set(relay.ThisSendHeader, string(code.NotRun))
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		header.Set("Poplar-Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(entry.Status)
	_ = json.NewEncoder(w).Encode(wireRefusal{
		Code:   int(r.Code),
		Name:   entry.Name,
		Run:    string(r.Execution),
		Text:   entry.Text,
		Detail: r.Detail,
	})
}

// NotRun returns a refusal with the given code for a request that no target has run.
func NotRun(c code.Code) Refusal {
	return Refusal{Code: c, Execution: code.NotRun}
}
