package news

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/news"
	"poplarworks/core/registry"
	"poplarworks/entry/newspb"
)

func toWire(n news.News) *newspb.News {
	wire := &newspb.News{
		Whole:         n.Whole,
		Version:       n.Version,
		AgeMs:         uint32(n.Age.Milliseconds()),
		Configuration: compress(n.Configuration),
		Revision:      n.Revision,
	}
	if n.Entries != nil {
		wire.Entries = entriesToWire(*n.Entries)
	}
	for _, c := range n.Registrations {
		r := &newspb.Registration{Key: c.Key, Version: c.Version, Removed: c.Entry == nil}
		if e := c.Entry; e != nil {
			r.Service, r.Address, r.DataCentre = e.Service, e.Address.String(), e.DataCentre
			r.Slots, r.Leaving, r.Sequence = uint32(e.Slots), e.Leaving, e.Sequence
			r.WarmupMs = uint32(e.WarmupLeft.Milliseconds())
			if !e.Started.IsZero() {
				r.StartedUnixMs = e.Started.UnixMilli()
			}
		}
		wire.Registrations = append(wire.Registrations, r)
	}
	return wire
}

// compress makes a configuration of thousands of rules fit through a narrow link to many followers.
func compress(text []byte) []byte {
	if text == nil {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil // the level is a valid one
	}
	if _, err := w.Write(text); err != nil {
		return nil // a buffer takes everything
	}
	if err := w.Close(); err != nil {
		return nil
	}
	return out.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessage))
	return text, errors.Wrap(err, "configuration")
}

func fromWire(wire *newspb.News) (news.News, error) {
	text, err := decompress(wire.GetConfiguration())
	if err != nil {
		return news.News{}, err
	}
	n := news.News{
		Whole:         wire.GetWhole(),
		Version:       wire.GetVersion(),
		Age:           time.Duration(wire.GetAgeMs()) * time.Millisecond,
		Configuration: text,
		Revision:      wire.GetRevision(),
	}
	if n.Entries, err = entriesFromWire(wire.GetEntries()); err != nil {
		return n, err
	}
	for _, r := range wire.GetRegistrations() {
		c := registry.Change{Key: r.GetKey(), Version: r.GetVersion()}
		if !r.GetRemoved() {
			address, err := netip.ParseAddrPort(r.GetAddress())
			if err != nil {
				return n, errors.Wrapf(err, "registration %s", r.GetKey())
			}
			c.Entry = &registry.Entry{
				Service:    r.GetService(),
				Address:    address,
				DataCentre: r.GetDataCentre(),
				Slots:      int(r.GetSlots()),
				Leaving:    r.GetLeaving(),
				WarmupLeft: time.Duration(r.GetWarmupMs()) * time.Millisecond,
				Sequence:   r.GetSequence(),
			}
			if ms := r.GetStartedUnixMs(); ms != 0 {
				c.Entry.Started = time.UnixMilli(ms)
			}
		}
		n.Registrations = append(n.Registrations, c)
	}
	return n, nil
}

func entriesToWire(list entrylist.List) *newspb.Entries {
	wire := &newspb.Entries{Version: list.Version}
	for _, m := range list.Members {
		wire.Entries = append(wire.Entries, &newspb.Entry{
			Name: m.Name, Peer: m.Peer.String(), DataCentre: m.DataCentre, BandwidthMbit: uint32(max(0, m.Bandwidth)),
		})
	}
	return wire
}

func entriesFromWire(wire *newspb.Entries) (*entrylist.List, error) {
	if wire == nil {
		return nil, nil
	}
	list := &entrylist.List{Version: wire.GetVersion()}
	for _, e := range wire.GetEntries() {
		peer, err := netip.ParseAddrPort(e.GetPeer())
		if err != nil {
			return nil, errors.Wrapf(err, "entry %s", e.GetName())
		}
		list.Members = append(list.Members, membership.Member{
			Name: e.GetName(), Peer: peer, DataCentre: e.GetDataCentre(), Bandwidth: int(e.GetBandwidthMbit()), Listed: true,
		})
	}
	return list, nil
}
