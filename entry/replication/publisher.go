package replication

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
	"poplarworks/entry/mux"
	"poplarworks/entry/newspb"
)

const maxQueuedUpdates = 16 // Per follower. A follower with a full queue is dropped and has to reconnect.

// Publisher sends updates to the followers of this entry. Its exported fields are set before Start.
type Publisher struct {
	*common.Common
	Address  netip.AddrPort
	Snapshot func() (storeupdate.Update, bool) // Returns a snapshot for a new follower, unless there is none.

	mu        sync.Mutex
	followers map[chan *newspb.News]string // Names of the followers, by queue.
}

// Start listens for followers until the context ends. It fails if it cannot listen on the address.
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
				p.Log("news").WithError(err).Info("Stopped accepting followers.")
				return
			}
			go p.serve(ctx, socket)
		}
	}()
	return nil
}

// serve sends a snapshot and then all updates to one follower, until the connection ends.
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
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(bufio.NewReader(stream), follow); err != nil {
		return
	}
	queue := p.subscribe(follow.GetName())
	defer p.unsubscribe(queue)
	snapshot, ok := p.Snapshot()
	if !ok {
		return
	}
	p.Log("news").WithField("follower", follow.GetName()).Info("A follower connected.")
	if storeversion.New(follow.GetRevisionEra(), follow.GetRevision()) >= snapshot.Revision {
		snapshot.Configuration = nil
	}
	p.sendUpdates(session, stream, queue, encode(snapshot))
	p.Log("news").WithField("follower", follow.GetName()).Info("A follower disconnected.")
}

// subscribe adds a queue of updates for a follower. It is called before the snapshot is taken, so that no update is
// missed in between.
func (p *Publisher) subscribe(name string) chan *newspb.News {
	queue := make(chan *newspb.News, maxQueuedUpdates)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers[queue] = name
	return queue
}

// sendUpdates writes the first update and then those of the queue, until the queue or the session is closed.
func (p *Publisher) sendUpdates(session *yamux.Session, stream net.Conn, queue chan *newspb.News, first *newspb.News) {
	next, open := first, true
	for open {
		_ = stream.SetWriteDeadline(p.Now().Add(writeTimeout)) // An error means that the stream is closed; the write reports it.
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

func (p *Publisher) unsubscribe(queue chan *newspb.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.followers, queue)
}

// HasFollower reports whether the named entry follows this one.
func (p *Publisher) HasFollower(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, follower := range p.followers {
		if follower == name {
			return true
		}
	}
	return false
}

// Publish queues an update for all followers. It drops followers whose queue is full.
func (p *Publisher) Publish(n storeupdate.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.followers) == 0 {
		return
	}
	wire := encode(n)
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
