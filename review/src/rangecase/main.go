package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/review/harness"
)

const (
	bodyBytes   = 3 << 20
	pieces      = 24
	work        = 96 * time.Millisecond // of a whole download at the usual speed
	slowPercent = 500                   // srv_slow x = 5.0
	slowFor     = 800 * time.Millisecond
	pauseFor    = 400 * time.Millisecond
	calmTime    = 8 * time.Second
	runTime     = 50 * time.Second
	perSecond   = 48
	deadline    = 2500 * time.Millisecond
	servers     = 6
	maxRecorded = 40
)

const configuration = `{"configVersion":7,"resources":[
{"resourceKind":"routes","metadata":{"name":"downloads"},"spec":{"hostname":"vault.example","prefix":"/builds/","kind":"download","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"build-vault","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"build-vault"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}`

var body = func() []byte {
	content := make([]byte, bodyBytes)
	random := rand.New(rand.NewPCG(7, 11))
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	return content
}()

var etag = fmt.Sprintf(`"%x"`, sha256.Sum256(body))

// serve answers a download in pieces, whole or from the byte that a range names.
func serve(s *harness.Server, c *harness.Conn, r *http.Request) bool {
	if !s.Begin(r) {
		s.Reject(c, r)
		return true
	}
	defer s.End()
	from := 0
	head := s.Answer(r, bodyBytes)
	if field := r.Header.Get("Range"); field != "" && r.Header.Get("If-Range") == etag {
		if _, err := fmt.Sscanf(field, "bytes=%d-", &from); err == nil && from > 0 && from < bodyBytes {
			head = strings.Replace(s.Answer(r, bodyBytes-from), "200 OK", "206 Partial Content", 1) +
				fmt.Sprintf("Content-Range: bytes %d-%d/%d\r\n", from, bodyBytes-1, bodyBytes)
		}
	}
	if c.Send(head+"Accept-Ranges: bytes\r\nETag: "+etag+"\r\n\r\n") != nil {
		return false
	}
	const size = bodyBytes / pieces
	for at := from; at < bodyBytes; {
		time.Sleep(work / pieces * s.Slowdown() / 100)
		end := min(bodyBytes, at-at%size+size)
		if c.Send(string(body[at:end])) != nil {
			return false
		}
		at = end
	}
	return true
}

func main() {
	w := harness.New(os.Args[1])
	for i := range servers {
		w.AddServer(&harness.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "build-vault", Zone: harness.Zones()[i%3], Slots: 3, Serve: serve})
	}
	w.Configure(configuration)
	w.StartEntries(3)
	var stop atomic.Bool
	go turnSlow(w, &stop)
	var mu sync.Mutex
	var wait sync.WaitGroup
	counts := map[string]int{}
	wrong := 0
	client := harness.NewClient()
	for n := 0; time.Duration(n)*time.Second/perSecond < runTime; n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("d%05d", n)
			result := client.Send(w.Entries[n%len(w.Entries)], http.MethodGet, "vault.example", "/builds/game", id, deadline, nil)
			w.RecordRequest("GET /builds/game", result)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.Err != nil:
				counts["incomplete or no answer"]++
			case result.Status != http.StatusOK:
				counts[fmt.Sprintf("status %d", result.Status)]++
			case result.Header.Get("X-Response-Signature") != "" && bytes.Equal(result.Body, body):
				counts["whole body"]++
			default:
				counts["WRONG BODY"]++
				if wrong++; wrong <= maxRecorded {
					w.Log("MIXED: %s at %s got 200, signature %q, %d bytes, which differ from the server's body from byte %d on; it ran at %s",
						id, result.Entry, result.Header.Get("X-Response-Signature"), len(result.Body), firstDifference(result.Body), strings.Join(w.RanAt(id), ", "))
				}
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	stop.Store(true)
	ended := 0
	for _, e := range w.Entries {
		if e.Ended() {
			ended++
		}
	}
	w.Finish(wrong+ended, fmt.Sprintf("answers: %v; processes that ended by themselves: %d", counts, ended))
}

// turnSlow makes one of the servers slow again and again.
func turnSlow(w *harness.World, stop *atomic.Bool) {
	time.Sleep(calmTime)
	for n := 0; harness.Trouble() && !stop.Load(); n++ {
		s := w.Servers()[n%servers]
		w.Log("%s turns slow", s.ID)
		s.SetSlowdown(slowPercent)
		time.Sleep(slowFor)
		s.SetSlowdown(100)
		time.Sleep(pauseFor)
	}
}

func firstDifference(got []byte) int {
	for i := range min(len(got), len(body)) {
		if got[i] != body[i] {
			return i
		}
	}
	return min(len(got), len(body))
}
