package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/review/harness"
)

const (
	servers    = 10
	slots      = 3
	work       = 82 * time.Millisecond
	extraShare = 0.03 // garble x: share of the answers that are sent twice
	minLate    = 2 * time.Millisecond
	maxLate    = 40 * time.Millisecond
	calmTime   = 4 * time.Second
	runTime    = 92 * time.Second
	lyingFor   = 6500 * time.Millisecond // srv_lying_health: one of ten servers
	garbleFor  = 5 * time.Second
	pauseFor   = time.Second
	perSecond  = 350
	deadline   = 2 * time.Second
	enough     = 3 // broken rules after which no more filings are sent
)

const configuration = `{"configVersion":7,"resources":[
{"resourceKind":"routes","metadata":{"name":"filing"},"spec":{"hostname":"desk.example","prefix":"/file/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":250,"priority":2,"service":"intake-desk","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"intake-desk"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}`

var (
	garbles atomic.Bool
	lying   atomic.Pointer[harness.Server]
)

// answer sends an answer and, if the server is a faulty one, now and then a second time a little later.
func answer(s *harness.Server, c *harness.Conn, text string) bool {
	if c.Send(text) != nil {
		return false
	}
	if garbles.Load() && faulty(s) && rand.Float64() < extraShare {
		time.AfterFunc(minLate+rand.N(maxLate-minLate), func() { _ = c.Send(text) })
	}
	return true
}

// faulty reports whether the server is one of the share of the servers that answer twice.
func faulty(s *harness.Server) bool {
	var number int
	_, _ = fmt.Sscanf(s.ID, "i-%d", &number)
	return number <= 6 // of ten
}

func health(s *harness.Server, c *harness.Conn) {
	status := "200 OK"
	if lying.Load() == s {
		status = "503 Service Unavailable"
	}
	answer(s, c, "HTTP/1.1 "+status+"\r\n"+s.Head()+"Content-Length: 0\r\n\r\n")
}

func serve(s *harness.Server, c *harness.Conn, r *http.Request) bool {
	harness.ReadAll(r)
	if !s.Begin(r) {
		s.Reject(c, r)
		return true
	}
	time.Sleep(work)
	s.End()
	body := "filed " + r.Header.Get("X-Request-Id")
	return answer(s, c, s.Answer(r, len(body))+"\r\n"+body)
}

func main() {
	w := harness.New(os.Args[1])
	for number := 1; number <= servers; number++ {
		w.AddServer(&harness.Server{
			ID: fmt.Sprintf("i-%d", number), Service: "intake-desk", Zone: harness.Zones()[number%3], Slots: slots, Serve: serve, Health: health,
		})
	}
	w.Configure(configuration)
	w.StartEntries(2)
	var stop atomic.Bool
	if harness.Trouble() {
		go garble(&stop)
		go lie(w, &stop)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	counts := map[string]int{}
	broken := 0
	var done atomic.Bool
	client := harness.NewClient()
	started := time.Now()
	for n := 0; time.Since(started) < runTime && !done.Load(); n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("f%05d", n)
			result := client.Send(w.Entries[n%len(w.Entries)], http.MethodPost, "desk.example", "/file/"+id, id, deadline, []byte("defect=10"))
			time.Sleep(2 * time.Second) // a refused request must not run later either
			w.RecordRequest("POST /file/"+id, result)
			runs := len(w.RanAt(id))
			mu.Lock()
			defer mu.Unlock()
			defer func() { done.Store(broken >= enough) }()
			counts[fmt.Sprintf("status %d, runs %d, error %t", result.Status, runs, result.Err != nil)]++
			promised := result.Status == 503 || result.Status == 429 || result.Status == 408 || result.Status == 421
			switch {
			case promised && runs > 0:
				broken++
				w.Log("REFUSED: %s at %s got %d %v, but has run", id, result.Entry, result.Status, result.Header)
			case runs > 1:
				broken++
				w.Log("TWICE: %s at %s got %d and ran %d times", id, result.Entry, result.Status, runs)
			}
		}()
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / perSecond)))
	}
	wait.Wait()
	stop.Store(true)
	w.Finish(broken, fmt.Sprintf("filings: %v; rule broken %d times", counts, broken))
}

// garble makes some servers answer twice now and then.
func garble(stop *atomic.Bool) {
	time.Sleep(calmTime)
	for !stop.Load() {
		garbles.Store(true)
		time.Sleep(garbleFor)
		garbles.Store(false)
		time.Sleep(pauseFor)
	}
}

// lie makes one server at a time say that it is ill, although it serves as before.
func lie(w *harness.World, stop *atomic.Bool) {
	time.Sleep(calmTime)
	for n := 0; !stop.Load(); n++ {
		s := w.Servers()[n%6]
		lying.Store(s)
		w.Log("%s says that it is ill", s.ID)
		time.Sleep(lyingFor)
		lying.Store(nil)
		time.Sleep(pauseFor)
	}
}
