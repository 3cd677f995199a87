package replication

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/registry"
	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/newspb"
)

// encode converts an update to its wire message.
func encode(n storeupdate.Update) *newspb.News {
	wire := &newspb.News{
		Whole:         n.Full,
		Version:       n.Version.Number(),
		Era:           n.Version.Era(),
		AgeMs:         uint32(n.Age.Milliseconds()),
		Configuration: compress(n.Configuration),
		Revision:      n.Revision.Number(),
		RevisionEra:   n.Revision.Era(),
	}
	if n.Entries != nil {
		wire.Entries = encodeEntries(*n.Entries)
	}
	for _, c := range n.Registrations {
		r := &newspb.Registration{Key: c.Key, Version: c.Version.Number(), Removed: c.Registration == nil}
		if e := c.Registration; e != nil {
			r.Service, r.Address, r.DataCentre = e.Service, e.Address.String(), e.DataCentre
			r.Slots, r.Leaving, r.Sequence = uint32(e.Slots), e.Leaving, e.Sequence
			r.WarmupMs = uint32(e.WarmupRemaining.Milliseconds())
			if !e.Started.IsZero() {
				r.StartedUnixMs = e.Started.UnixMilli()
			}
		}
		wire.Registrations = append(wire.Registrations, r)
	}
	return wire
}

// compress applies DEFLATE, so that a configuration of thousands of rules can be sent to many followers through a
// narrow link.
func compress(text []byte) []byte {
	if text == nil {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil // cannot happen: the level is valid
	}
	if _, err := w.Write(text); err != nil {
		return nil // cannot happen: writing to a buffer does not fail
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
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessageBytes))
	return text, errors.Wrap(err, "decompressing the configuration")
}

// decode converts a wire message to an update.
func decode(wire *newspb.News) (storeupdate.Update, error) {
	text, err := decompress(wire.GetConfiguration())
	if err != nil {
		return storeupdate.Update{}, err
	}
	n := storeupdate.Update{
		Full:          wire.GetWhole(),
		Version:       storeversion.New(wire.GetEra(), wire.GetVersion()),
		Age:           time.Duration(wire.GetAgeMs()) * time.Millisecond,
		Configuration: text,
		Revision:      storeversion.New(wire.GetRevisionEra(), wire.GetRevision()),
	}
	if n.Entries, err = decodeEntries(wire.GetEntries()); err != nil {
		return n, err
	}
	for _, r := range wire.GetRegistrations() {
		c := registry.Change{Key: r.GetKey(), Version: storeversion.New(wire.GetEra(), r.GetVersion())}
		if !r.GetRemoved() {
			c.Registration = decodeRegistration(r)
		}
		n.Registrations = append(n.Registrations, c)
	}
	return n, nil
}

// decodeRegistration returns nil if no target can be meant. Builds that do not check registrations pass such entries on, and
// they must not end the stream of updates.
func decodeRegistration(r *newspb.Registration) *registry.Registration {
	address, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil {
		return nil
	}
	entry := &registry.Registration{
		Service:         r.GetService(),
		Address:         address,
		DataCentre:      r.GetDataCentre(),
		Slots:           int(r.GetSlots()),
		Leaving:         r.GetLeaving(),
		WarmupRemaining: time.Duration(r.GetWarmupMs()) * time.Millisecond,
		Sequence:        r.GetSequence(),
	}
	if ms := r.GetStartedUnixMs(); ms != 0 {
		entry.Started = time.UnixMilli(ms)
	}
	if entry.Check() != nil {
		return nil
	}
	return entry
}

func encodeEntries(list entrylist.List) *newspb.Entries {
	wire := &newspb.Entries{Version: list.Version.Number(), Era: list.Version.Era()}
	for _, m := range list.Members {
		wire.Entries = append(wire.Entries, &newspb.Entry{
			Name: m.Name, Peer: m.Peer.String(), DataCentre: m.DataCentre, BandwidthMbit: uint32(max(0, m.Bandwidth)),
		})
	}
	return wire
}

func decodeEntries(wire *newspb.Entries) (*entrylist.List, error) {
	if wire == nil {
		return nil, nil
	}
	list := &entrylist.List{Version: storeversion.New(wire.GetEra(), wire.GetVersion())}
	for _, e := range wire.GetEntries() {
		peer, err := netip.ParseAddrPort(e.GetPeer())
		if err != nil {
			return nil, errors.Wrapf(err, "peer address of entry %s", e.GetName())
		}
		list.Members = append(list.Members, membership.Member{
			Name: e.GetName(), Peer: peer, DataCentre: e.GetDataCentre(), Bandwidth: int(e.GetBandwidthMbit()), Listed: true,
		})
	}
	return list, nil
}
