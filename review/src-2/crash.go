package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	repeats       = 4 // sends at a time of a caller that repeats three more times at once
	repeatDelay   = 500 * time.Millisecond
	impatientFrom = 40 * time.Second // from then on the caller repeats at once and often
	impatientStep = 50 * time.Millisecond
	maxRetries    = 3
	crashPath     = "/lookups/17"
)

// repeat calls the function again and again, with a pause after each call, until the context ends.
func repeat(ctx context.Context, group *sync.WaitGroup, pause time.Duration, call func(n int)) {
	group.Add(1)
	go func() {
		defer group.Done()
		for n := 0; ctx.Err() == nil; n++ {
			call(n)
			time.Sleep(pause)
		}
	}()
}

// crashedAgain reports whether the request reached servers in more than three retries that were sent later than
// stableMs after it had crashed the third.
func (w *world) crashedAgain(prefix string) bool {
	sentAt := w.sentTimes()
	w.mu.Lock()
	crashes := append([]run(nil), w.crashes...)
	w.mu.Unlock()
	if len(crashes) < 3 {
		w.logf("the request has crashed %d servers", len(crashes))
		return false
	}
	third := crashes[2].at
	late := map[string]bool{}
	for _, r := range w.runsOf(func(r run) bool { return strings.HasPrefix(r.id, prefix) }) {
		if sentAt[r.id].Sub(third) > stableTime {
			late[r.id] = true
		}
	}
	lost := 0
	w.mu.Lock()
	for _, s := range w.sends {
		if strings.HasPrefix(s.id, "order") && s.at.Sub(third) > stableTime && !s.whole && s.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	w.mu.Unlock()
	w.logf("the third server crashed at %.3f; retries sent later than %s after that which reached servers: %d (allowed: %d); servers crashed in all: %d; other callers' orders that were lost in that time: %d",
		third.Sub(w.started).Seconds(), stableTime, len(late), maxRetries, len(crashes), lost)
	return len(late) > maxRetries
}

func (w *world) crashWorld(crashAfter time.Duration, crashes func(r *http.Request, body []byte) bool) []*entry {
	for i := range 9 {
		w.addServer(&server{service: "desk", zone: fmt.Sprintf("zone-%d", i%3), slots: 3, work: 100 * time.Millisecond, tellsLoad: true, crashes: crashes, crashAfter: crashAfter})
	}
	w.store.put("op", "config", configuration(5, []string{"desk"},
		route{name: "lookups", prefix: "/lookups/", kind: "safe", service: "desk", timeoutMs: 1200, maxAttempts: 2},
		route{name: "orders", prefix: "/orders/", kind: "non_idempotent", service: "desk", timeoutMs: 1500, maxAttempts: 2},
		route{name: "uploads", prefix: "/uploads/", kind: "non_idempotent", service: "desk", timeoutMs: 3000, maxAttempts: 2}))
	var entries []*entry
	for i := range 3 {
		entries = append(entries, w.newEntry(fmt.Sprintf("edge-zone-%d", i), fmt.Sprintf("zone-%d", i), true))
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(stableTime + time.Second) // all machines are in touch from here on
	return entries
}

// crashExpiry: a caller goes on to repeat a request that crashes servers. A minute after the third crash the machines
// send it on again.
func crashExpiry(w *world) bool {
	entries := w.crashWorld(0, func(r *http.Request, _ []byte) bool { return w.trouble && r.URL.Path == crashPath })
	ctx, cancel := context.WithTimeout(context.Background(), 75*time.Second)
	defer cancel()
	var group sync.WaitGroup
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 60, entries...)
	client := newClient()
	send := func(n int) {
		w.request(client, entries[n%len(entries)], http.MethodGet, crashPath, newID("crash"), nil, deadline)
	}
	calm, cancelCalm := context.WithTimeout(ctx, impatientFrom)
	defer cancelCalm()
	repeat(calm, &group, repeatDelay, send)
	<-calm.Done()
	w.logf("the caller repeats its request at once and often from now on")
	for k := range repeats {
		repeat(ctx, &group, impatientStep, func(n int) { send(n + k) })
	}
	group.Wait()
	return w.crashedAgain("crash")
}

const uploadBytes = 1200 << 10

// crashUpload: a caller repeats an upload that crashes servers, while other callers' uploads to the same path are served.
func crashUpload(w *world) bool {
	marker := []byte("CRASH")
	entries := w.crashWorld(0, func(r *http.Request, body []byte) bool { return w.trouble && bytes.HasPrefix(body, marker) })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 60, entries...)
	client := newClient()
	upload := func(prefix, begin string, n int) {
		body := io.MultiReader(strings.NewReader(begin), bytes.NewReader(make([]byte, uploadBytes)))
		w.upload(client, entries[n%len(entries)], newID(prefix), body, int64(len(begin)+uploadBytes))
	}
	repeat(ctx, &group, repeatDelay/2, func(n int) { upload("build", fmt.Sprintf("BUILD %d", n), n) })
	time.Sleep(4 * repeatDelay)
	repeat(ctx, &group, repeatDelay, func(n int) { upload("crash", string(marker), n) })
	group.Wait()
	return w.crashedAgain("crash")
}

const (
	patience   = 200 * time.Millisecond // half of the lookups' objective
	deadline   = 2500 * time.Millisecond
	crashAfter = 500 * time.Millisecond
)

// crashAbandoned: the caller of a request that crashes servers leaves before the crash, and repeats the request. Without
// the disruption it waits for the answer.
func crashAbandoned(w *world) bool {
	entries := w.crashWorld(crashAfter, func(r *http.Request, _ []byte) bool { return r.URL.Path == crashPath })
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	var group sync.WaitGroup
	w.traffic(ctx, &group, http.MethodPost, "/orders/1", "order", 60, entries...)
	client := newClient()
	wait := deadline
	if w.trouble {
		wait = patience
	}
	repeat(ctx, &group, 2*repeatDelay, func(n int) {
		w.do(client, entries[n%len(entries)], http.MethodGet, crashPath, newID("crash"), nil, -1, deadline, wait)
	})
	group.Wait()
	return w.crashedAgain("crash")
}
