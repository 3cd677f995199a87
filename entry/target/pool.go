package target

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/entry/common"
	"poplarworks/entry/sockets"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 60 * time.Second
	maxIdleForOnce = 4 * time.Second // the target may be closing older ones, so at-most-once requests avoid them
	sweepInterval  = 5 * time.Second
	maxHeaderBytes = 256 << 10
)

// ErrConnectionLimit is returned when this entry has as many connections to the target as its share allows.
var ErrConnectionLimit = errors.New("all connections of this entry's share are in use")

// Pool holds connections to targets by address. Its exported fields must be set before use.
type Pool struct {
	*common.Common
	MaxConnections func(address netip.AddrPort) int // maximum number of connections of this entry
	MatchesRequest responseMatcher                  // detects late responses; nil if responses do not name their request

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

type host struct {
	idle []*conn
	open int
}

// Run closes connections that have been idle too long or have unread bytes, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(0)
			return
		case <-ticker.C:
			p.sweep(idleTimeout)
		}
	}
}

func (p *Pool) sweep(maxIdle time.Duration) {
	p.mu.Lock()
	var stale []*conn
	for _, h := range p.hosts {
		remaining := h.idle[:0]
		for _, c := range h.idle {
			if idle := p.Now().Sub(c.idleSince); idle >= maxIdle || c.expired(idle) || !c.alive() {
				stale = append(stale, c)
				h.open--
				continue
			}
			remaining = append(remaining, c)
		}
		clear(h.idle[len(remaining):])
		h.idle = remaining
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.socket.Close()
	}
}

// expired reports whether the target may close the connection because it has been idle too long.
func (c *conn) expired(idle time.Duration) bool {
	return c.keepAliveTimeout > 0 && idle >= c.keepAliveTimeout
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, once bool) (*conn, error) {
	c, err := p.takeIdle(address, once)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.dial(ctx, address)
	if err != nil {
		p.removeOpen(address)
	}
	return c, err
}

// takeIdle returns an idle connection, or nil without an error if the caller may dial. The new connection is then
// already counted.
func (p *Pool) takeIdle(address netip.AddrPort, once bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = map[netip.AddrPort]*host{}
	}
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		idle := p.Now().Sub(c.idleSince)
		if once && (idle > maxIdleForOnce || c.unnamedRefusal) && !c.expired(idle) {
			continue
		}
		h.idle = append(h.idle[:i], h.idle[i+1:]...)
		if !c.expired(idle) && c.alive() {
			return c, nil
		}
		h.open--
		_ = c.socket.Close()
	}
	share := p.MaxConnections(address)
	if h.open >= share && !p.evict(h) {
		return nil, ErrConnectionLimit
	}
	h.open++
	p.Check.Assert(h.open <= max(1, share), "target %s has %d connections, of a share of %d", address, h.open, share)
	return nil, nil
}

// evict closes the connection that has been idle longest, and returns false if there is none.
func (p *Pool) evict(h *host) bool {
	if len(h.idle) == 0 {
		return false
	}
	oldest := h.idle[0]
	h.idle = h.idle[1:]
	h.open--
	_ = oldest.socket.Close()
	return true
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	p.Counter("target.dials").Inc(1)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: sockets.Limit}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newConn(socket), nil
}

func (p *Pool) removeOpen(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].open--
}

// release keeps the connection for another request if its exchange was complete, and closes it otherwise.
func (p *Pool) release(address netip.AddrPort, c *conn, complete bool) {
	if !complete || c.reader.Buffered() > 0 {
		_ = c.socket.Close()
		p.removeOpen(address)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.Now()
	p.hosts[address].idle = append(p.hosts[address].idle, c)
}

// Connections returns the number of open connections by address.
func (p *Pool) Connections() map[netip.AddrPort]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[netip.AddrPort]int{}
	for address, h := range p.hosts {
		counts[address] = h.open
	}
	return counts
}
