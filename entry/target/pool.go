package target

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/entry/common"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 60 * time.Second
	freshIdle      = 4 * time.Second // older connections may just be closing, so no request that must run once goes over them
	sweepInterval  = 5 * time.Second
	maxHeaderBytes = 256 << 10
)

// ErrShareUsed says that this entry holds as many connections to the target as it may.
var ErrShareUsed = errors.New("the share of connections is used")

// Pool holds connections to targets by address; its exported fields are set before Run.
type Pool struct {
	*common.Common
	Share func(address netip.AddrPort) int // connections that this entry may hold
	Owner owner                            // tells late answers to earlier requests; nil if targets do not name the request

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

type host struct {
	idle []*conn
	open int
}

// Run closes connections that have been idle for long, until the context ends.
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

func (p *Pool) sweep(keep time.Duration) {
	p.mu.Lock()
	var stale []*conn
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if idle := p.Now().Sub(c.idledAt); idle >= keep || c.expired(idle) {
				stale = append(stale, c)
				h.open--
				continue
			}
			kept = append(kept, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.socket.Close()
	}
}

// expired reports whether the target is about to close the connection.
func (c *conn) expired(idle time.Duration) bool {
	return c.keepFor > 0 && idle >= c.keepFor
}

// acquire returns an idle connection or a new one.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, once bool) (*conn, error) {
	c, err := p.takeIdle(address, once)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.dial(ctx, address)
	if err != nil {
		p.forget(address)
	}
	return c, err
}

// takeIdle returns nil without an error when the caller may dial; the dial is counted already.
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
		idle := p.Now().Sub(c.idledAt)
		if once && idle > freshIdle && !c.expired(idle) {
			continue
		}
		h.idle = append(h.idle[:i], h.idle[i+1:]...)
		if !c.expired(idle) && c.alive() {
			return c, nil
		}
		h.open--
		_ = c.socket.Close()
	}
	share := p.Share(address)
	if h.open >= share && !p.evict(h) {
		return nil, ErrShareUsed
	}
	h.open++
	p.Check.Hold(h.open <= max(1, share), "target %s has %d connections, of a share of %d", address, h.open, share)
	return nil, nil
}

// evict closes the connection that has been idle longest.
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
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newConn(socket), nil
}

func (p *Pool) forget(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].open--
}

// release keeps the connection for the next exchange if its own has ended whole, and else closes it.
func (p *Pool) release(address netip.AddrPort, c *conn, whole bool) {
	if !whole || c.reader.Buffered() > 0 {
		_ = c.socket.Close()
		p.forget(address)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idledAt = p.Now()
	p.hosts[address].idle = append(p.hosts[address].idle, c)
}

// Connections returns the connections held to each address.
func (p *Pool) Connections() map[netip.AddrPort]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := map[netip.AddrPort]int{}
	for address, h := range p.hosts {
		held[address] = h.open
	}
	return held
}
