package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"poplarworks/review/harness"
)

const (
	servers     = 3 // of each service
	slots       = 3
	work        = 82 * time.Millisecond
	changeAfter = 6 * time.Second
	runTime     = 30 * time.Second
	perSecond   = 20
	deadline    = 2 * time.Second
	maxRecorded = 40
)

const (
	filing   = `{"resourceKind":"routes","metadata":{"name":"filing"},"spec":{"hostname":"desk.example","prefix":"/tickets/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":250,"priority":2,"service":"intake-desk","maxAttempts":2}}`
	status   = `{"resourceKind":"routes","metadata":{"name":"status"},"spec":{"hostname":"desk.example","prefix":"/tickets/status/","kind":"safe","timeoutMs":1200,"targetLatencyMs":300,"priority":2,"service":"ledger-view","maxAttempts":2}}`
	services = `{"resourceKind":"services","metadata":{"name":"intake-desk"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"services","metadata":{"name":"ledger-view"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	first  = `{"configVersion":7,"resources":[` + filing + "," + services + `]}`
	second = `{"configVersion":12,"resources":[` + filing + "," + status + "," + services + `]}`
)

// allowed returns the services to which a request with the path may go: those of the longest prefix that begins it, in
// each of the two configurations.
func allowed(target string) []string {
	path, _, _ := strings.Cut(target, "?")
	switch {
	case strings.HasPrefix(path, "/tickets/status/"):
		return []string{"intake-desk", "ledger-view"}
	default:
		return []string{"intake-desk"}
	}
}

// judge finds requests that run at a service which no configuration allows.
type judge struct {
	mu     sync.Mutex
	world  *harness.World
	wrong  int
	counts map[string]int
}

func (j *judge) serve(s *harness.Server, c *harness.Conn, r *http.Request) bool {
	harness.ReadAll(r)
	if !s.Begin(r) {
		s.Reject(c, r)
		return true
	}
	j.check(s, r)
	time.Sleep(work)
	s.End()
	body := "answer to " + r.Header.Get("X-Request-Id")
	return c.Send(s.Answer(r, len(body))+"\r\n"+body) == nil
}

func (j *judge) check(s *harness.Server, r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, service := range allowed(r.RequestURI) {
		if service == s.Service {
			j.counts["run at "+s.Service]++
			return
		}
	}
	j.counts["RUN AT THE WRONG SERVICE "+s.Service]++
	if j.wrong++; j.wrong <= maxRecorded {
		j.world.Log("ROUTE: %s %s %s ran at %s, a server of %s; allowed: %v", r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, s.ID, s.Service, allowed(r.RequestURI))
	}
}

func main() {
	w := harness.New(os.Args[1])
	j := &judge{world: w, counts: map[string]int{}}
	for i := range servers {
		for _, service := range []string{"intake-desk", "ledger-view"} {
			w.AddServer(&harness.Server{ID: fmt.Sprintf("i-%s-%d", service[:3], i+1), Service: service, Zone: harness.Zones()[i], Slots: slots, Serve: j.serve})
		}
	}
	w.Configure(first)
	w.StartEntries(3)
	if harness.Trouble() {
		time.AfterFunc(changeAfter, func() {
			w.Configure(second)
			w.Log("the operator has added a route with the prefix /tickets/status/")
		})
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	client := harness.NewClient()
	for n := 0; time.Duration(n)*time.Second/perSecond < runTime; n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("f%05d", n)
			method, path := http.MethodPost, "/tickets/game-"+id
			switch n % 4 {
			case 1:
				path = "/tickets/status%2F" + id // a ticket whose name has a slash
			case 2:
				method, path = http.MethodGet, "/tickets/status/"+id
			}
			result := client.Send(w.Entries[n%len(w.Entries)], method, "desk.example", path, id, deadline, nil)
			w.RecordRequest(method+" "+path, result)
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("status %d", result.Status)]++
		}()
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	w.Finish(j.wrong, fmt.Sprintf("answers: %v; requests: %v", answers, j.counts))
}
