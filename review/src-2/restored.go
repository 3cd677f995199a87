package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case, from the begin of traffic.
const (
	copyAt       = 2 * time.Second
	changeAt     = 3 * time.Second
	addAt        = 4 * time.Second
	drillAt      = 9 * time.Second // the copy is then seven seconds old
	awayFor      = time.Second
	writtenAgain = 5 * time.Second // after the store's return
	trafficFor   = 20 * time.Second
)

// restoredConfiguration: a machine that was added after a change of the configuration goes back to the version before
// it when the store comes back from a copy.
func restoredConfiguration(w *world) bool {
	services := []string{"desk-a", "desk-b"}
	for i := range 6 {
		w.addServer(&server{service: services[i%2], zone: fmt.Sprintf("zone-%d", i/2), slots: 3, work: 60 * time.Millisecond, tellsLoad: true})
	}
	version := func(number int, service string) []byte {
		return configuration(number, services, route{name: "orders", prefix: "/orders/", kind: "non_idempotent", service: service, timeoutMs: 1500, maxAttempts: 2})
	}
	w.store.put("op", "config", version(5, "desk-a"))
	w.logf("the store has accepted version 5: orders go to desk-a")
	first := []*entry{w.newEntry("edge-zone-0", "zone-0", true), w.newEntry("edge-zone-1", "zone-1", true)}
	for _, e := range first {
		e.awaitReady()
	}
	ctx, cancel := context.WithTimeout(context.Background(), trafficFor)
	defer cancel()
	var group sync.WaitGroup
	begin := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 20, first...)
	until(copyAt)
	kept := w.store.copyRows()
	w.logf("a copy of the store is made")
	until(changeAt)
	w.store.put("op", "config", version(7, "desk-b"))
	w.logf("the store has accepted version 7: orders go to desk-b")
	until(addAt)
	added := w.newEntry("edge-zone-2", "zone-2", false)
	added.awaitReady()
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 10, added)
	until(drillAt)
	if w.trouble {
		w.store.setDown(true)
		w.logf("drill: the store is away")
		until(drillAt + awayFor)
		w.store.restore(kept)
		w.store.setDown(false)
		w.logf("drill: the store is back from the copy, in its next era")
		until(drillAt + awayFor + writtenAgain)
		w.store.put("op", "config", version(7, "desk-b"))
		w.logf("the operator has written version 7 again")
	}
	group.Wait()
	return w.regressed("desk-a", "desk-b")
}

// regressed reports whether a machine handled a request by the older version after a server saw the effect of the newer one.
func (w *world) regressed(older, newer string) bool {
	sentAt := w.sentTimes()
	broken := 0
	for _, e := range w.entries {
		seen := w.runsOf(func(r run) bool { return r.ran && r.entry == e.name && r.service == newer })
		if len(seen) == 0 {
			continue
		}
		late := w.runsOf(func(r run) bool {
			return r.ran && r.entry == e.name && r.service == older && sentAt[r.id].Sub(seen[0].at) > rollbackSlack
		})
		if len(late) > 0 {
			w.logf("CONFIG: %s went back: %s saw a request of the newer version at %.3f; %d requests that were sent later than %s after that ran at %s, the first sent at %.3f (%s), the last at %.3f",
				e.name, newer, seen[0].at.Sub(w.started).Seconds(), len(late), rollbackSlack, older,
				sentAt[late[0].id].Sub(w.started).Seconds(), late[0].id, sentAt[late[len(late)-1].id].Sub(w.started).Seconds())
			broken += len(late)
		}
	}
	return broken > 0
}

func (w *world) sentTimes() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := map[string]time.Time{}
	for _, s := range w.sends {
		times[s.id] = s.at
	}
	return times
}
