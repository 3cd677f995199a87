package dump

import (
	"encoding/json"
	"net/netip"
	"time"

	"poplarworks/core/catalog"
	"poplarworks/core/entrystate"
	"poplarworks/core/membership"
	"poplarworks/core/snapshot"
	"poplarworks/entry/claims"
	"poplarworks/entry/common"
)

// Dumper collects the state of all parts. Its exported fields must be set before use.
type Dumper struct {
	*common.Common
	State             func() entrystate.State
	Catalog           func() *catalog.Catalog
	Revision          func() uint64
	Services          func() []snapshot.Service
	Members           func() []membership.Member
	Claims            func() []*claims.Ticket
	Connections       func() map[netip.AddrPort]int
	StoreDown         func() bool
	Quarantine        func() int
	InFlight          func() int
	BufferedBytes     func() int64
	TransferBytes     func() int64
	CallerConnections func() int
}

type wireDump struct {
	Entry       string         `json:"entry"`
	DataCentre  string         `json:"data-centre"`
	Incarnation uint64         `json:"incarnation"`
	At          time.Time      `json:"at"`
	State       string         `json:"state"`
	Revision    uint64         `json:"revision"`
	StoreDown   bool           `json:"store-down"`
	InFlight    int            `json:"requests-in-flight"`
	Callers     int            `json:"caller-connections"`
	Buffered    int64          `json:"buffered-bytes"`
	Transfers   int64          `json:"transfer-bytes"`
	Quarantine  int            `json:"quarantine-entries"`
	Records     []wireRecord   `json:"records"`
	Services    []wireService  `json:"services"`
	Peers       []wireMember   `json:"peers"`
	Claims      []wireClaim    `json:"claims-in-hand"`
	Connections map[string]int `json:"target-connections"`
}

type wireRecord struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Schema   int    `json:"schema"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type wireService struct {
	Name           string       `json:"name"`
	Picker         string       `json:"picker"`
	Waiting        int          `json:"waiting"`
	QueuedShort    int          `json:"queued-short"`
	QueuedLong     int          `json:"queued-long"`
	QueuedLate     int          `json:"queued-late"`
	StandingShort  bool         `json:"standing-short"`
	StandingLong   bool         `json:"standing-long"`
	EndedPerSecond float64      `json:"ended-per-second"`
	Ejected        int          `json:"ejected"`
	Targets        []wireTarget `json:"targets"`
	Rules          []wireRule   `json:"rules"`
}

type wireTarget struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	State       string  `json:"state"`
	Stopped     bool    `json:"stopped,omitempty"`
	Removed     bool    `json:"removed,omitempty"`
	Open        bool    `json:"open"`
	InFlight    int     `json:"in-flight"`
	Long        int     `json:"long-in-flight"`
	PeersLong   int     `json:"peers-long-in-flight"`
	Load        float64 `json:"estimated-load"`
	ReportAge   float64 `json:"report-age-ms"`
	Slowness    float64 `json:"slowness"`
	ErrorShare  float64 `json:"error-share"`
	Limit       float64 `json:"limit"`
	RateLimit   float64 `json:"rate-limit"` // negative if the target names none
	Cost        float64 `json:"cost"`
	Sent        uint64  `json:"sent"`
	ProbesSpent int     `json:"probes-spent"`
}

type wireRule struct {
	Name        string  `json:"name"`
	Typical     float64 `json:"typical-ms"`
	Slow        float64 `json:"p95-ms"`
	Samples     int     `json:"samples"`
	RetryTokens float64 `json:"retry-tokens"`
	Retries     uint64  `json:"retries"`
	HedgeTokens float64 `json:"hedge-tokens"`
	Hedges      uint64  `json:"hedges"`
}

type wireMember struct {
	Name        string    `json:"name"`
	Address     string    `json:"address"`
	DataCentre  string    `json:"data-centre"`
	State       string    `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	Revision    uint64    `json:"revision"`
	Leaving     bool      `json:"leaving,omitempty"`
	Listed      bool      `json:"listed"`
	HeardAt     time.Time `json:"heard-at"`
}

type wireClaim struct {
	Key   string    `json:"key"`
	Stage string    `json:"stage"`
	Since time.Time `json:"since"`
}

// JSON returns the state as JSON.
func (d *Dumper) JSON() []byte {
	dump := wireDump{
		Entry:       d.Settings.Name,
		DataCentre:  d.Settings.DataCentre,
		Incarnation: d.Incarnation,
		At:          d.Now(),
		State:       string(d.State()),
		Revision:    d.Revision(),
		StoreDown:   d.StoreDown(),
		InFlight:    d.InFlight(),
		Callers:     d.CallerConnections(),
		Buffered:    d.BufferedBytes(),
		Transfers:   d.TransferBytes(),
		Quarantine:  d.Quarantine(),
		Connections: map[string]int{},
	}
	for _, rec := range d.Catalog().All() {
		dump.Records = append(dump.Records, wireRecord{
			Kind:     string(rec.Key.Kind),
			Name:     rec.Key.Name,
			Schema:   rec.Schema,
			Revision: rec.Revision,
			Deleted:  rec.Deleted,
		})
	}
	for _, s := range d.Services() {
		dump.Services = append(dump.Services, d.service(s))
	}
	for _, m := range d.Members() {
		dump.Peers = append(dump.Peers, wireMember{
			Name:        m.Name,
			Address:     m.Peer.String(),
			DataCentre:  m.DataCentre,
			State:       string(m.State),
			Incarnation: m.Incarnation,
			Revision:    m.Revision,
			Leaving:     m.Leaving,
			Listed:      m.Listed,
			HeardAt:     m.LastHeartbeat,
		})
	}
	for _, t := range d.Claims() {
		dump.Claims = append(dump.Claims, wireClaim{Key: t.Key, Stage: string(t.Stage()), Since: t.Row.Created})
	}
	for address, count := range d.Connections() {
		dump.Connections[address.String()] = count
	}
	data, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return data
}

func (d *Dumper) service(s snapshot.Service) wireService {
	wire := wireService{
		Name:           s.Name,
		Picker:         d.Settings.Picker,
		Waiting:        s.Waiting,
		QueuedShort:    s.Queued[0],
		QueuedLong:     s.Queued[1],
		QueuedLate:     s.Queued[2],
		StandingShort:  s.Standing[0],
		StandingLong:   s.Standing[1],
		EndedPerSecond: s.FinishedPerSecond,
		Ejected:        s.Ejected,
	}
	for _, t := range s.Targets {
		wire.Targets = append(wire.Targets, target(t))
	}
	for _, r := range s.Rules {
		wire.Rules = append(wire.Rules, wireRule{
			Name:        r.Name,
			Typical:     milliseconds(r.TypicalLatency),
			Slow:        milliseconds(r.SlowLatency),
			Samples:     r.Samples,
			RetryTokens: r.RetryTokens,
			Retries:     r.Retries,
			HedgeTokens: r.HedgeTokens,
			Hedges:      r.Hedges,
		})
	}
	return wire
}

func target(t snapshot.Target) wireTarget {
	return wireTarget{
		Name:        t.Name,
		Address:     t.Address,
		State:       string(t.State),
		Stopped:     t.Stopped,
		Removed:     t.Removed,
		Open:        t.Open,
		InFlight:    t.InFlight,
		Long:        t.LongInFlight,
		PeersLong:   t.PeersLongInFlight,
		Load:        t.EstimatedLoad,
		ReportAge:   milliseconds(t.ReportAge),
		Slowness:    t.Slowness,
		ErrorShare:  t.ErrorShare,
		Limit:       t.Limit,
		RateLimit:   t.RateLimit,
		Cost:        t.Cost,
		Sent:        t.Sent,
		ProbesSpent: t.ProbesSpent,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
