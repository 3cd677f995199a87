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
	watchInterval = 100 * time.Millisecond
	watchTimeout  = 500 * time.Millisecond
	recordPath    = "/v1/records/rule/lookup"
)

type wireRecord struct {
	Revision uint64 `json:"revision"`
}

// writeRecords replaces the same rule again and again. Two operators do this at once, so that their writes conflict.
func (r *Run) writeRecords(ctx context.Context, random *rand.Rand, operator int) {
	client := &http.Client{Timeout: 8 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, randomBetween(random, 50*time.Millisecond, time.Second))
		base := r.randomEntry(random).OperatorURL()
		current, ok := requestRecord(client, http.MethodGet, base+recordPath, "")
		if !ok {
			continue
		}
		body := fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": "lookup", "service": "status",
			"match": {"path-prefix": "/status"}, "idempotent": true, "deadline": "%dms",
			"hedge": {"ratio": 0.05}, "not-run-statuses": [503]}`, 1500+random.IntN(1000))
		query := fmt.Sprintf("?replaces=%d&write-id=%d-%d", current.Revision, operator, n)
		accepted, ok := requestRecord(client, http.MethodPut, r.randomEntry(random).OperatorURL()+recordPath+query, body)
		if !ok {
			r.history.count("writes refused or unknown")
			continue
		}
		r.history.count("writes accepted")
		r.history.addWrite(write{replaced: current.Revision, revision: accepted.Revision})
	}
}

// requestRecord sends a request for a record, and reports whether it succeeded.
func requestRecord(client *http.Client, method, url, body string) (wireRecord, bool) {
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

// watchRevisions polls the revision in force at every entry that accepts callers. It must never decrease, not even
// across a restart of the entry.
func (r *Run) watchRevisions(ctx context.Context) {
	client := &http.Client{Timeout: watchTimeout}
	seen := map[string]uint64{}
	for ctx.Err() == nil {
		for _, e := range r.fleet.Entries {
			status, err := queryStatus(client, e.OperatorURL())
			if err != nil || status.State != "serving" {
				continue
			}
			if status.Revision < seen[e.Name] {
				r.history.addViolation(fmt.Sprintf("%s returned from revision %d to %d", e.Name, seen[e.Name], status.Revision))
			}
			seen[e.Name] = max(seen[e.Name], status.Revision)
		}
		wait(ctx, watchInterval)
	}
	r.checkConvergence(seen)
}

// checkConvergence checks, after the recovery period, that every entry has the highest revision seen.
func (r *Run) checkConvergence(seen map[string]uint64) {
	highest := uint64(0)
	for _, revision := range seen {
		highest = max(highest, revision)
	}
	for _, e := range r.fleet.Entries {
		status, err := e.Status()
		if err != nil || status.Revision < highest {
			r.history.addViolation(fmt.Sprintf("%s has revision %d after the recovery period, want %d (%v)", e.Name, status.Revision, highest, err))
		}
	}
}

// queryStatus returns an entry's status.
func queryStatus(client *http.Client, base string) (wireStatus, error) {
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
