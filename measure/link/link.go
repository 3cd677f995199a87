package link

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Link is a proxy that forwards connections from one address to another, and can cut, delay or hang them.
type Link struct {
	From netip.AddrPort
	To   netip.AddrPort

	mu        sync.Mutex
	proxy     *toxiproxy.Proxy
	listening bool
}

// Start listens on From and forwards connections to To.
func (l *Link) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l.proxy = toxiproxy.NewProxy(server, l.From.String(), l.From.String(), l.To.String())
	l.listening = true
	return l.proxy.Start()
}

// Cut closes every connection and stops listening, so that new connections are refused.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listening {
		l.proxy.Stop()
		l.listening = false
	}
}

// Restore listens again after Cut. It does not remove delays and hangs.
func (l *Link) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listening {
		return nil
	}
	l.listening = true
	return l.proxy.Start()
}

// Delay adds latency and jitter in each direction, in place of earlier delays and hangs.
func (l *Link) Delay(latency, jitter time.Duration) error {
	l.Clear()
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latency.Milliseconds(), jitter.Milliseconds())
	for _, direction := range []string{"upstream", "downstream"} {
		if err := l.add("latency", direction, attributes); err != nil {
			return err
		}
	}
	return nil
}

// Hang keeps connections open but forwards no data.
func (l *Link) Hang() error {
	return l.hang("upstream", "downstream")
}

// HangDownstream keeps connections open but forwards no data from To back to From.
func (l *Link) HangDownstream() error {
	return l.hang("downstream")
}

func (l *Link) hang(directions ...string) error {
	l.Clear()
	for _, direction := range directions {
		if err := l.add("timeout", direction, `{"timeout":0}`); err != nil {
			return err
		}
	}
	return nil
}

// add adds a fault of the proxy library, called a toxic, in one direction.
func (l *Link) add(kind, direction, attributes string) error {
	text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, direction, kind, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}

// Clear removes delays and hangs.
func (l *Link) Clear() {
	l.proxy.Toxics.ResetToxics(context.Background())
}
