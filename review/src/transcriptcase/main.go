package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/review/harness"
)

const (
	servers     = 6
	slots       = 3
	work        = 82 * time.Millisecond
	slowPercent = 1200 // srv_slow x = 12
	slowFor     = 9 * time.Second
	pauseFor    = 500 * time.Millisecond
	calmTime    = 3 * time.Second
	runTime     = 60 * time.Second
	perSecond   = 60
	deadline    = 2500 * time.Millisecond
	bodyBytes   = 90_000
	line        = "HTTP/1.1 404 Not Found\r\n"
	writeBuffer = 4096 // of the entry's connection to a caller
	maxRecorded = 40
)

const configuration = `{"configVersion":7,"resources":[
{"resourceKind":"routes","metadata":{"name":"downloads"},"spec":{"hostname":"vault.example","prefix":"/builds/","kind":"download","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"build-vault","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"build-vault"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}`

// body is the recorded traffic: a first line and then status lines. The first line is padded so that a status line
// follows the part of the body that leaves the entry together with a head of headBytes bytes.
var body atomic.Pointer[[]byte]

func record(headBytes int) {
	pad := (writeBuffer - headBytes) % len(line)
	text := strings.Repeat("#", pad) + strings.Repeat(line, bodyBytes/len(line))
	content := []byte(text)
	body.Store(&content)
}

func serve(s *harness.Server, c *harness.Conn, r *http.Request) bool {
	if !s.Begin(r) {
		s.Reject(c, r)
		return true
	}
	time.Sleep(work * s.Slowdown() / 100)
	s.End()
	content := *body.Load()
	return c.Send(s.Answer(r, len(content))+"\r\n"+string(content)) == nil
}

func main() {
	w := harness.New(os.Args[1])
	for i := range servers {
		w.AddServer(&harness.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "build-vault", Zone: harness.Zones()[i%3], Slots: slots, Serve: serve})
	}
	w.Configure(configuration)
	w.StartEntries(3)
	record(0)
	calm := headBytes(w.Entries[0])
	w.Log("the head of an answer of a server at its usual speed has %d bytes", calm)
	record(calm + 1) // a server that is ten times slower has one digit more in X-Server-Load
	var stop atomic.Bool
	go turnSlow(w, &stop)
	var mu sync.Mutex
	var wait sync.WaitGroup
	counts := map[string]int{}
	wrong := 0
	log.SetOutput(io.Discard) // net/http reports the bytes that the client gets after an answer
	client := harness.NewClient()
	for n := 0; time.Duration(n)*time.Second/perSecond < runTime; n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("t%05d", n)
			result := client.Send(w.Entries[n%len(w.Entries)], http.MethodGet, "vault.example", "/builds/traffic", id, deadline, nil)
			w.RecordRequest("GET /builds/traffic", result)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.Err != nil:
				counts["incomplete or no answer"]++
			case result.Status != http.StatusOK:
				counts[fmt.Sprintf("status %d", result.Status)]++
			case bytes.Equal(result.Body, *body.Load()):
				counts["whole body"]++
			default:
				counts["WRONG BODY"]++
				if wrong++; wrong <= maxRecorded {
					at := firstDifference(result.Body, *body.Load())
					w.Log("MIXED: %s at %s got 200, signature %q, %d bytes, which differ from the server's body from byte %d on: %q",
						id, result.Entry, result.Header.Get("X-Response-Signature"), len(result.Body), at, result.Body[at:min(len(result.Body), at+60)])
				}
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	stop.Store(true)
	w.Finish(wrong, fmt.Sprintf("answers: %v", counts))
}

// headBytes returns the length of the head of an answer.
func headBytes(e *harness.Entry) int {
	socket, err := net.Dial("tcp", e.Front)
	if err != nil {
		return 0
	}
	defer func() { _ = socket.Close() }()
	_, _ = io.WriteString(socket, "GET /builds/traffic HTTP/1.1\r\nHost: vault.example\r\nX-Request-Id: t00000\r\nX-Deadline-Remaining: 2500\r\n\r\n")
	reader, total := bufio.NewReader(socket), 0
	for {
		text, err := reader.ReadString('\n')
		total += len(text)
		if err != nil || text == "\r\n" {
			return total
		}
	}
}

// turnSlow makes two of the servers slow again and again.
func turnSlow(w *harness.World, stop *atomic.Bool) {
	time.Sleep(calmTime)
	for n := 0; harness.Trouble() && !stop.Load(); n += 2 {
		slow := []*harness.Server{w.Servers()[n%servers], w.Servers()[(n+1)%servers]}
		w.Log("%s and %s turn slow", slow[0].ID, slow[1].ID)
		for _, s := range slow {
			s.SetSlowdown(slowPercent)
		}
		time.Sleep(slowFor)
		for _, s := range slow {
			s.SetSlowdown(100)
		}
		time.Sleep(pauseFor)
	}
}

func firstDifference(got, want []byte) int {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return i
		}
	}
	return min(len(got), len(want))
}
