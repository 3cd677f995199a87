package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case, from the begin of traffic.
const (
	rejectAt  = 2 * time.Second
	leaveAt   = 4 * time.Second
	stayFor   = 4 * time.Second // from the report until the server exits: drainMs, and a little longer
	rejectFor = 8 * time.Second
	leaveEnd  = 12 * time.Second
)

// serverLeaving: a machine whose calls the store turns away goes on sending to a server that says in all its answers
// that it leaves.
func serverLeaving(w *world) bool {
	var servers []*server
	for i := range 4 {
		servers = append(servers, w.addServer(&server{service: "desk", zone: fmt.Sprintf("zone-%d", i%3), slots: 6, work: 400 * time.Millisecond, tellsLoad: true}))
	}
	w.store.put("op", "config", configuration(5, []string{"desk"}, route{name: "orders", prefix: "/orders/", kind: "non_idempotent", service: "desk", timeoutMs: 1500, maxAttempts: 2}))
	var entries []*entry
	for i := range 3 {
		entries = append(entries, w.newEntry(fmt.Sprintf("edge-zone-%d", i), fmt.Sprintf("zone-%d", i), true))
	}
	for _, e := range entries {
		e.awaitReady()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveEnd)
	defer cancel()
	var group sync.WaitGroup
	begin := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 36, entries...)
	until(rejectAt)
	if w.trouble {
		w.store.setRejected(entries[0].name, true)
		w.logf("the store turns %s away with 503", entries[0].name)
	}
	until(leaveAt)
	leavers := servers[:1]
	for _, s := range leavers {
		s.leave()
	}
	until(leaveAt + stayFor)
	for _, s := range leavers {
		s.exit()
	}
	until(rejectAt + rejectFor)
	w.store.setRejected(entries[0].name, false)
	w.logf("the store serves %s again", entries[0].name)
	group.Wait()
	broken := false
	for _, s := range leavers {
		broken = w.sentToLeaving(s.id) || broken
	}
	return broken
}

// sentToLeaving reports whether a machine sent requests to a server more than drainMs after it had passed on an answer
// of that server with Server-Leaving.
func (w *world) sentToLeaving(id string) bool {
	ranBy := map[string]string{}
	for _, r := range w.runsOf(func(r run) bool { return r.ran }) {
		ranBy[r.id] = r.server
	}
	w.mu.Lock()
	sends := append([]send(nil), w.sends...)
	w.mu.Unlock()
	broken := 0
	for _, e := range w.entries {
		var told time.Time
		for _, s := range sends {
			if s.entry == e.name && s.leaving && ranBy[s.id] == id && (told.IsZero() || s.answeredAt.Before(told)) {
				told = s.answeredAt
			}
		}
		if told.IsZero() {
			continue
		}
		late, lost := 0, []string{}
		for _, s := range sends {
			if s.entry != e.name || ranBy[s.id] != id || s.at.Sub(told) <= drainTime {
				continue
			}
			late++
			if !s.whole {
				lost = append(lost, fmt.Sprintf("%s (%d)", s.id, s.status))
			}
		}
		w.logf("%s passed on the first answer with Server-Leaving at %.3f; requests that clients sent later than %s after that and that reached %s: %d; orders among them that got no answer of the server: %d %s",
			e.name, told.Sub(w.started).Seconds(), drainTime, id, late, len(lost), strings.Join(lost, " "))
		broken += late
	}
	return broken > 0
}
