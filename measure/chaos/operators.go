package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	watchPeriod  = 100 * time.Millisecond
	watchTimeout = 500 * time.Millisecond
	recordPath   = "/v1/records/rule/lookup"
)

type wireRecord struct {
	Revision uint64 `json:"revision"`
}

// operate writes the same rule again and again, beside another operator who does the same.
func (r *Run) operate(ctx context.Context, random *rand.Rand, operator int) {
	client := &http.Client{Timeout: 8 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, between(random, 50*time.Millisecond, time.Second))
		base := r.any(random).OperatorURL()
		held, ok := call(client, http.MethodGet, base+recordPath, "")
		if !ok {
			continue
		}
		text := fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": "lookup", "service": "status",
			"match": {"path-prefix": "/status"}, "idempotent": true, "deadline": "%dms",
			"hedge": {"ratio": 0.05}, "not-run-statuses": [503]}`, 1500+random.IntN(1000))
		query := fmt.Sprintf("?replaces=%d&write-id=%d-%d", held.Revision, operator, n)
		accepted, ok := call(client, http.MethodPut, r.any(random).OperatorURL()+recordPath+query, text)
		if !ok {
			r.history.count("writes refused or unknown")
			continue
		}
		r.history.count("writes accepted")
		r.history.addWrite(write{replaced: held.Revision, revision: accepted.Revision})
	}
}

func call(client *http.Client, method, url, body string) (wireRecord, bool) {
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return wireRecord{}, false
	}
	reply, err := client.Do(request)
	if err != nil {
		return wireRecord{}, false
	}
	defer func() { _ = reply.Body.Close() }()
	var rec wireRecord
	err = json.NewDecoder(reply.Body).Decode(&rec)
	return rec, err == nil && reply.StatusCode == http.StatusOK
}

type wireStatus struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// watch looks at the revisions in force at every entry that asks for callers; none may ever fall, restarts included.
func (r *Run) watch(ctx context.Context) {
	client := &http.Client{Timeout: watchTimeout}
	seen := map[string]uint64{}
	for ctx.Err() == nil {
		for _, e := range r.fleet.Entries {
			status, err := look(client, e.OperatorURL())
			if err != nil || status.State != "serving" {
				continue
			}
			if status.Revision < seen[e.Name] {
				r.history.addWrong(fmt.Sprintf("%s fell from revision %d to %d", e.Name, seen[e.Name], status.Revision))
			}
			seen[e.Name] = max(seen[e.Name], status.Revision)
		}
		wait(ctx, watchPeriod)
	}
	r.converged(seen)
}

// converged checks, after the calm, that every entry has what the others have.
func (r *Run) converged(seen map[string]uint64) {
	highest := uint64(0)
	for _, revision := range seen {
		highest = max(highest, revision)
	}
	for _, e := range r.fleet.Entries {
		status, err := e.Status()
		if err != nil || status.Revision < highest {
			r.history.addWrong(fmt.Sprintf("%s has revision %d after the calm, want %d (%v)", e.Name, status.Revision, highest, err))
		}
	}
}

func look(client *http.Client, base string) (wireStatus, error) {
	var status wireStatus
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, base+"/v1/status", http.NoBody)
	if err != nil {
		return status, err
	}
	reply, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = reply.Body.Close() }()
	return status, json.NewDecoder(reply.Body).Decode(&status)
}
