package news

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

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
