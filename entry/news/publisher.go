package news

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/core/news"
	"poplarworks/entry/common"
	"poplarworks/entry/mux"
	"poplarworks/entry/newspb"
)

const backlog = 16 // news that may wait for one follower; one that lags further behind has to connect anew

// Publisher tells followers what this entry knows; its exported fields are set before Start.
type Publisher struct {
	*common.Common
	Address netip.AddrPort
	Whole   func() (news.News, bool) // all that is known, if anything is

	mu        sync.Mutex
	followers map[chan *newspb.News]string // their names
}

// Start listens; it fails when the address cannot be used.
func (p *Publisher) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Address.String())
	if err != nil {
		return err
	}
	p.followers = map[chan *newspb.News]string{}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				p.Log("news").WithError(err).Info("No more followers are accepted.")
				return
			}
			go p.serve(ctx, socket)
		}
	}()
	return nil
}

func (p *Publisher) serve(ctx context.Context, socket net.Conn) {
	session, err := yamux.Server(socket, mux.Config(writeTimeout))
	if err != nil {
		_ = socket.Close()
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	follow := &newspb.Follow{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(bufio.NewReader(stream), follow); err != nil {
		return
	}
	queue := p.enrol(follow.GetName())
	defer p.forget(queue)
	whole, ok := p.Whole()
	if !ok {
		return
	}
	p.Log("news").WithField("follower", follow.GetName()).Info("An entry follows this one.")
	if follow.GetRevision() >= whole.Revision {
		whole.Configuration = nil
	}
	p.tell(session, stream, queue, toWire(whole))
	p.Log("news").WithField("follower", follow.GetName()).Info("An entry no longer follows this one.")
}

// enrol begins to collect news for a follower, before it is told all there is, so that none is missed.
func (p *Publisher) enrol(name string) chan *newspb.News {
	queue := make(chan *newspb.News, backlog)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers[queue] = name
	return queue
}

func (p *Publisher) tell(session *yamux.Session, stream net.Conn, queue chan *newspb.News, first *newspb.News) {
	next, open := first, true
	for open {
		_ = stream.SetWriteDeadline(p.Now().Add(writeTimeout)) // fails only on a closed stream, as does the write
		if _, err := protodelim.MarshalTo(stream, next); err != nil {
			return
		}
		select {
		case next, open = <-queue:
		case <-session.CloseChan():
			return
		}
	}
}

func (p *Publisher) forget(queue chan *newspb.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.followers, queue)
}

// Followed reports whether the entry of that name follows this one.
func (p *Publisher) Followed(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, follower := range p.followers {
		if follower == name {
			return true
		}
	}
	return false
}

// Publish tells all followers.
func (p *Publisher) Publish(n news.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.followers) == 0 {
		return
	}
	wire := toWire(n)
	for queue := range p.followers {
		select {
		case queue <- wire:
		default:
			delete(p.followers, queue)
			close(queue)
			p.Counter("news.laggards").Inc(1)
		}
	}
}
