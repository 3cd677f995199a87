package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"poplarworks/review/harness"
)

const (
	servers     = 6
	slots       = 3
	work        = 100 * time.Millisecond
	uploadBytes = 4 << 20
	chunkBytes  = 32 << 10
	chunkPause  = 6 * time.Millisecond // a client sends 5 MB/s
	earlyAfter  = 1200 << 10           // bytes of the body after which a server in trouble answers
	answerBytes = 2800 << 10
	deadline    = 3 * time.Second
	uploads     = 60
	uploadPause = 400 * time.Millisecond
	maxRecorded = 40
)

const configuration = `{"configVersion":7,"resources":[
{"resourceKind":"routes","metadata":{"name":"uploads"},"spec":{"hostname":"desk.example","prefix":"/convert/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"intake-desk","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"intake-desk"},"spec":{"healthCheck":"/health","maxConns":220,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}`

var (
	upload = content(uploadBytes, 3)
	answer = content(answerBytes, 5)
)

func content(size int, seed uint64) []byte {
	bytes := make([]byte, size)
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range bytes {
		bytes[i] = byte(random.Uint32())
	}
	return bytes
}

// received is what a server has read of an upload.
type received struct {
	mu    sync.Mutex
	world *harness.World
	wrong int
	whole int
	cut   int
}

// serve converts an upload. In trouble it begins to answer as soon as it has read a part, and reads on.
func (v *received) serve(s *harness.Server, c *harness.Conn, r *http.Request) bool {
	if !s.Begin(r) {
		s.Reject(c, r)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	defer s.End()
	head := s.Answer(r, answerBytes)
	var got bytes.Buffer
	rest := answer
	if harness.Trouble() {
		_, _ = io.CopyN(&got, r.Body, earlyAfter)
		if c.Send(head+"\r\n") != nil {
			return false
		}
		for {
			if _, err := io.CopyN(&got, r.Body, chunkBytes); err != nil {
				break
			}
			piece := rest[:min(chunkBytes, len(rest))]
			if rest = rest[len(piece):]; c.Send(string(piece)) != nil {
				return false
			}
		}
	}
	_, err := io.Copy(&got, r.Body)
	v.judge(s, r, got.Bytes(), err)
	if err != nil {
		return false
	}
	time.Sleep(work)
	if !harness.Trouble() && c.Send(head+"\r\n") != nil {
		return false
	}
	return c.Send(string(rest)) == nil
}

// judge compares a body whose end has been read with the one that was sent.
func (v *received) judge(s *harness.Server, r *http.Request, got []byte, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err != nil:
		v.cut++
	case bytes.Equal(got, upload):
		v.whole++
	default:
		if v.wrong++; v.wrong <= maxRecorded {
			at := 0
			for at < min(len(got), len(upload)) && got[at] == upload[at] {
				at++
			}
			next := bytes.Index(upload, got[at:min(len(got), at+64)])
			v.world.Log("UNASKED: %s at %s: the body came to its end with %d of %d bytes; from byte %d on stand the bytes from %d on",
				r.Header.Get("X-Request-Id"), s.ID, len(got), len(upload), at, next)
		}
	}
}

func main() {
	w := harness.New(os.Args[1])
	v := &received{world: w}
	for i := range servers {
		w.AddServer(&harness.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "intake-desk", Zone: harness.Zones()[i%3], Slots: slots, Serve: v.serve})
	}
	w.Configure(configuration)
	w.StartEntries(3)
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for n := range uploads {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id, e := fmt.Sprintf("u%03d", n), w.Entries[n%len(w.Entries)]
			outcome := send(e, id)
			w.Log("sent %s POST /convert/%s with %d bytes to %s; answered: %s; ran at %v", id, id, uploadBytes, e.Name, outcome, w.RanAt(id))
			mu.Lock()
			defer mu.Unlock()
			counts[outcome]++
		}()
		time.Sleep(uploadPause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	w.Finish(v.wrong, fmt.Sprintf("answers at the clients: %v; bodies at the servers: %d whole, %d cut off, %d changed", counts, v.whole, v.cut, v.wrong))
}

// send uploads in chunks, and reads the answer while it sends.
func send(e *harness.Entry, id string) string {
	socket, err := net.Dial("tcp", e.Front)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = socket.Close() }()
	go func() {
		_, _ = fmt.Fprintf(socket, "POST /convert/%s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Remaining: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			id, id, deadline.Milliseconds())
		for at := 0; at < uploadBytes; at += chunkBytes {
			if _, err := fmt.Fprintf(socket, "%x\r\n%s\r\n", chunkBytes, upload[at:at+chunkBytes]); err != nil {
				return
			}
			time.Sleep(chunkPause)
		}
		_, _ = io.WriteString(socket, "0\r\n\r\n")
	}()
	_ = socket.SetReadDeadline(time.Now().Add(deadline + time.Second))
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return "no answer"
	}
	got, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("status %d, broken off", response.StatusCode)
	case response.StatusCode == http.StatusOK && bytes.Equal(got, answer):
		return "whole answer"
	default:
		return fmt.Sprintf("status %d", response.StatusCode)
	}
}
