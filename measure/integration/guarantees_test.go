package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/plan"
	"poplarworks/measure/trouble"
)

func TestAcceptedRecordComesIntoForceDuringStoreOutage(t *testing.T) {
	d := start(t, plan.Plan{PeerProxies: true})
	d.put(`{"schema": 2, "kind": "rule", "name": "extra", "service": "status", "match": {"path-prefix": "/extra"}, "idempotent": true}`)
	d.platform("table", trouble.Platform{Outage: true})
	d.platform("objects", trouble.Platform{Outage: true})
	d.inForce(7)
	for entry := range d.Entries {
		d.served(entry, "/extra")
	}
}

func TestEntriesWithoutPeerLinksReadRecordsFromTheStore(t *testing.T) {
	d := start(t, plan.Plan{PeerProxies: true})
	for _, e := range d.Entries {
		for _, l := range e.PeerLinks {
			l.Cut()
		}
	}
	d.put(`{"schema": 2, "kind": "rule", "name": "extra", "service": "status", "match": {"path-prefix": "/extra"}, "idempotent": true}`)
	d.inForce(7)
}

func TestRecordsAndClaimsSurviveRestartOfAllEntries(t *testing.T) {
	d := start(t, plan.Plan{})
	if got := d.pay(0, "k1"); got.status != http.StatusOK {
		t.Fatalf("got %d, want 200", got.status)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, e := range d.Entries {
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
	}
	d.await("entries", func() bool { return d.Entries[0].Ready() && d.Entries[1].Ready() && d.Entries[2].Ready() })
	d.inForce(6)
	if got := d.pay(2, "k1"); got.header.Get("Poplar-Replayed") != "true" || d.runs() != 1 {
		t.Errorf("got %d %s and %d runs, want the stored answer and 1", got.status, got.code(), d.runs())
	}
}

func TestStoreOutageRefusesFeesAndServesLookups(t *testing.T) {
	d := start(t, plan.Plan{})
	for _, fault := range []trouble.Platform{{Outage: true}, {Hang: true}} {
		d.platform("table", fault)
		stop := d.background(0, 1, 2)
		for i := range 6 {
			d.pay(i%3, fmt.Sprintf("warm-up-%d", i))
		}
		started := time.Now()
		got := d.pay(0, "k1")
		if got.code() != "3001 unknown" || got.header.Get("Poplar-This-Send") != "not-run" {
			t.Errorf("got %s, want 3001 unknown, and this send reported as not run", got.code())
		}
		if elapsed := time.Since(started); elapsed > 600*time.Millisecond {
			t.Errorf("got the refusal after %v, want it within 600 ms", elapsed)
		}
		if failures := stop(); len(failures) > 0 {
			t.Errorf("got %d failed lookups during the outage, want none: %v", len(failures), failures[0])
		}
		d.platform("table", trouble.Platform{})
		d.await("fees after the outage", func() bool { return d.pay(0, "k1").status == http.StatusOK })
	}
	if got := d.runs(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

func TestRetryAtAnotherEntryWaitsForTheFirstSend(t *testing.T) {
	d := start(t, plan.Plan{})
	var first response
	var group sync.WaitGroup
	group.Go(func() { first = d.send(0, http.MethodPost, "/fees/1?work=800ms", "k1") })
	d.await("the first send at its target", func() bool { return d.runs() == 1 })
	again := d.send(1, http.MethodPost, "/fees/1?work=800ms", "k1")
	group.Wait()
	if again.status != http.StatusOK || again.body != first.body || d.runs() != 1 {
		t.Errorf("got %d %q and %d runs, want the first response %q and 1", again.status, again.body, d.runs(), first.body)
	}
}

func TestKilledOrPausedClaimHolderCausesNoSecondRun(t *testing.T) {
	scenarios := []struct {
		name    string
		disrupt func(e *fleet.Entry)
		restore func(e *fleet.Entry)
	}{
		{"dies", func(e *fleet.Entry) { e.Kill() }, func(e *fleet.Entry) { _ = e.Start() }},
		{"paused longer than every timeout", func(e *fleet.Entry) { e.Pause() }, func(e *fleet.Entry) { e.Resume() }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := start(t, plan.Plan{})
			go d.send(0, http.MethodPost, "/fees/1?work=500ms", "k1")
			d.await("the first send at its target", func() bool { return d.runs() == 1 })
			s.disrupt(d.Entries[0])
			for range 3 {
				got := d.send(1, http.MethodPost, "/fees/1?work=500ms", "k1")
				if got.header.Get("Poplar-Run") == "not-run" {
					t.Errorf("got %s for a key that ran, want unknown", got.code())
				}
			}
			s.restore(d.Entries[0])
			d.await("the holder", d.Entries[0].Ready)
			d.send(0, http.MethodPost, "/fees/1?work=500ms", "k1")
			if got := d.runs(); got != 1 {
				t.Errorf("got %d runs, want 1", got)
			}
		})
	}
}

func TestRequestThatCrashesTargetsIsRefusedAfterTwoCrashes(t *testing.T) {
	p := plan.Plan{Groups: []plan.Group{group("status"), group("fees")}}
	p.Groups[0].Count = 5
	d := start(t, p)
	for i := range 12 {
		d.get(i%3, "/status/bad?poison")
		time.Sleep(20 * time.Millisecond)
	}
	executions, err := d.Groups[0].Executions()
	if err != nil {
		t.Fatal(err)
	}
	if got := len(executions); got > 2 {
		t.Errorf("got %d targets crashed, want at most 2", got)
	}
	for entry := range d.Entries {
		if got := d.get(entry, "/status/bad?poison"); got.code() != "2005 not-run" {
			t.Errorf("got %s at entry %d, want 2005 not-run", got.code(), entry)
		}
		d.served(entry, "/status/good")
	}
}

func TestPlannedStopOfATargetInterruptsNoRequest(t *testing.T) {
	d := start(t, plan.Plan{})
	const path = "/builds/1?bytes=1000000&rate=500000"
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() {
			if got := d.get(i, path); got.err != nil || len(got.body) != 1_000_000 {
				t.Errorf("got %d bytes (%v) of a download in progress, want 1000000", len(got.body), got.err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.ctl(0, "stop", "announce", "patch", "--service", "status", "--target", d.Groups[0].TargetName(0))
	announced := time.Now()
	stop := d.background(0, 1, 2)
	output := d.ctl(0, "stop", "status", "patch", "--wait", "--timeout", "20s")
	if !strings.Contains(output, "drained: true") {
		t.Errorf("got %q, want drained: true", output)
	}
	if err := d.Groups[0].Crash(0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if failures := stop(); len(failures) > 0 {
		t.Errorf("got %d failed lookups during the stop, want none: %v", len(failures), failures[0])
	}
	group.Wait()
	executions, err := d.Groups[0].Executions()
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range executions {
		if e.Target == d.Groups[0].TargetName(0) && e.Started.After(announced.Add(2*time.Second)) {
			t.Errorf("got new work at the target %v after the stop was announced, want none after 2 s", e.Started.Sub(announced))
		}
	}
	d.ctl(0, "stop", "withdraw", "patch")
}

func TestStopStatusNamesUnresponsiveEntries(t *testing.T) {
	d := start(t, plan.Plan{})
	d.ctl(0, "stop", "announce", "patch", "--service", "status", "--target", d.Groups[0].TargetName(0))
	d.Entries[2].Pause()
	defer d.Entries[2].Resume()
	output := d.ctl(5, "stop", "status", "patch")
	if !strings.Contains(output, "entry-3") || !strings.Contains(output, "not heard from") {
		t.Errorf("got %q, want entry-3 named as not heard from", output)
	}
}

func TestGracefulStopOfAnEntryInterruptsNoRequest(t *testing.T) {
	d := start(t, plan.Plan{DrainGrace: 500 * time.Millisecond})
	var got response
	var group sync.WaitGroup
	group.Go(func() { got = d.get(0, "/builds/1?bytes=1000000&rate=500000") })
	time.Sleep(300 * time.Millisecond)
	go d.Entries[0].Terminate(0)
	d.await("not ready", func() bool { return !d.Entries[0].Ready() })
	group.Wait()
	if got.err != nil || len(got.body) != 1_000_000 {
		t.Errorf("got %d bytes (%v), want the complete download", len(got.body), got.err)
	}
	if !d.Entries[0].Process().Wait(10 * time.Second) {
		t.Error("got the entry running 10 s after its last request, want it to have exited")
	}
	if code := d.Entries[0].Process().ExitCode(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
}

func TestStopRecordOfAnEntryAndItsWithdrawal(t *testing.T) {
	d := start(t, plan.Plan{})
	d.ctl(0, "stop", "announce", "away", "--entry-name", "entry-3")
	d.await("entry-3 not ready", func() bool { return !d.Entries[2].Ready() })
	d.await("entry-3 refusing", func() bool { return d.get(2, "/status/1").code() == "2006 not-run" })
	d.ctl(0, "stop", "status", "away", "--wait", "--timeout", "5s")
	d.ctl(0, "stop", "withdraw", "away")
	d.await("entry-3 ready again", d.Entries[2].Ready)
	d.served(2, "/status/1")
}
