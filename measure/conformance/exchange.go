package conformance

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Framings of a body.
const (
	byLength = "length"
	byChunks = "chunks"
	byClose  = "close"
)

// Contents of a body.
const (
	plainContent    = "plain"
	protocolContent = "protocol" // looks like HTTP
)

// Services of the rules: those of all classes, and that of all other paths.
const (
	mainService  = "main"
	otherService = "other"
)

func classes() []string {
	return []string{"/lookup", "/long", "/once", "/hedged"}
}

// message is one body and how it is written.
type message struct {
	size    int // bytes
	framing string
	content string
	pieces  int // writes, with a pause after each
	pause   time.Duration
}

// exchange is one request and the answer that the target is to give.
type exchange struct {
	method  string
	path    string
	request message

	status        int
	answer        message
	informational bool
	resumable     bool          // the answer has an entity tag, and ranges of it can be requested
	work          time.Duration // before the answer begins
	readFirst     int           // bytes of the request's body that the target reads before it answers
	readsOn       bool          // whether the target reads the rest while it answers
	breakAfter    int           // bytes of the answer after which the target closes the connection; -1 for a sound one
}

// String describes the exchange in one line.
func (x exchange) String() string {
	return fmt.Sprintf("%s %s %+v, %d %+v, informational %t, resumable %t, work %s, reads %d first, on %t, breaks after %d",
		x.method, x.path, x.request, x.status, x.answer, x.informational, x.resumable, x.work, x.readFirst, x.readsOn, x.breakAfter)
}

// isOnce reports whether the exchange may run once at most.
func (x exchange) isOnce() bool {
	return strings.HasPrefix(x.path, "/once/")
}

// service returns the service whose rule the path leads to.
func (x exchange) service() string {
	for _, class := range classes() {
		if strings.HasPrefix(x.path, class+"/") && !strings.HasPrefix(x.path, class+"/sub/") {
			return mainService
		}
	}
	return otherService
}

// sentPath returns the path as it is sent on.
func sentPath(path string) string {
	return strings.ReplaceAll(path, "|", "%7C")
}

// begun reports whether the answer may begin before the end of the request's body.
func (x exchange) begun() bool {
	return x.readFirst < x.request.size
}

// body returns the content of a message. Messages of different salts differ.
func (m message) body(salt int) []byte {
	const lines = "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nHTTP/1.1 431 x\r\n0\r\n\r\n5\r\nhello\r\nGET / HTTP/1.1\r\n\r\nHTTP/1.1 404 Not Found\n"
	pattern := fmt.Sprintf("%07d ", salt)
	if m.content == protocolContent {
		pattern = lines
	}
	text := strings.Repeat(pattern, m.size/len(pattern)+2)
	shift := salt % len(pattern)
	body := []byte(text[shift : shift+m.size])
	if m.content == plainContent {
		for i := 0; i+8 <= len(body); i += 512 {
			copy(body[i:], fmt.Sprintf("%08d", i))
		}
	}
	return body
}

// drawSize draws a short size, one near the bound of a buffer on the way, or one beyond all bounds.
func drawSize(t *rapid.T, label string) int {
	short := []int{0, 1, 100}
	var near []int
	for _, bound := range []int{2 << 10, 4 << 10, 16 << 10, 32 << 10, 64 << 10, 256 << 10, 1 << 20, 1<<20 + 256<<10} {
		near = append(near, bound-200, bound-1, bound, bound+1, bound+300)
	}
	long := []int{1_200_000, 2_500_000}
	return rapid.SampledFrom(rapid.SampledFrom([][]int{short, near, long}).Draw(t, label+" sizes")).Draw(t, label+" size")
}

func drawMessage(t *rapid.T, label string, framings ...string) message {
	return message{
		size:    drawSize(t, label),
		framing: rapid.SampledFrom(framings).Draw(t, label+" framing"),
		content: rapid.SampledFrom([]string{plainContent, protocolContent}).Draw(t, label+" content"),
		pieces:  rapid.SampledFrom([]int{1, 2, 3, 40}).Draw(t, label+" pieces"),
		pause:   rapid.SampledFrom([]time.Duration{0, time.Millisecond, 20 * time.Millisecond}).Draw(t, label+" pause"),
	}
}

// drawExchange draws an exchange. Its simplest value is a short lookup with a short answer.
func drawExchange(t *rapid.T) exchange {
	class := rapid.SampledFrom(classes()).Draw(t, "class")
	x := exchange{
		method:        "GET",
		path:          class + rapid.SampledFrom([]string{"/1", "/a%2Fb", "%2F1", "/%74/;x=|", "/sub%2F1", "//1?q=%2F", "/sub/1"}).Draw(t, "path"),
		request:       message{framing: byLength, content: plainContent, pieces: 1},
		status:        rapid.SampledFrom([]int{200, 201, 404, 500}).Draw(t, "status"),
		answer:        drawMessage(t, "answer", byLength, byChunks, byClose),
		informational: rapid.IntRange(0, 9).Draw(t, "informational") == 9,
		resumable:     rapid.Bool().Draw(t, "resumable"),
		work:          rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Millisecond}).Draw(t, "work"),
		breakAfter:    -1,
	}
	if class != "/hedged" && rapid.Bool().Draw(t, "upload") {
		x.method = "POST"
		x.request = drawMessage(t, "request", byLength, byChunks)
	}
	x.readFirst, x.readsOn = x.request.size, true
	if x.request.size > 0 && rapid.Bool().Draw(t, "early") {
		x.readFirst = x.request.size * rapid.IntRange(0, 99).Draw(t, "read first") / 100
		x.readsOn = rapid.Bool().Draw(t, "reads on")
	}
	if x.answer.size > 0 && rapid.IntRange(0, 9).Draw(t, "breaks") == 9 {
		x.breakAfter = x.answer.size * rapid.IntRange(0, 99).Draw(t, "break after") / 100
	}
	return x
}
