package app

import (
	"context"
	"net/http"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/catalog"
	"poplarworks/core/entrystate"
	"poplarworks/core/record"
	"poplarworks/entry/buffers"
	"poplarworks/entry/caller"
	"poplarworks/entry/claims"
	"poplarworks/entry/common"
	"poplarworks/entry/crashes"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/dump"
	"poplarworks/entry/exchange"
	"poplarworks/entry/headers"
	"poplarworks/entry/health"
	"poplarworks/entry/objects"
	"poplarworks/entry/operator"
	"poplarworks/entry/peer"
	"poplarworks/entry/probe"
	"poplarworks/entry/prober"
	"poplarworks/entry/reach"
	"poplarworks/entry/records"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
	"poplarworks/entry/target"
	"poplarworks/entry/vmlist"
)

const (
	maxPlatformConnections = 32
	platformIdleTimeout    = 30 * time.Second
	crashDialTimeout       = time.Second
)

// entry contains the parts of one process.
type entry struct {
	*common.Common

	store     *store.Store
	records   *records.Keeper
	directory *dispatch.Directory
	pool      *target.Pool
	prober    *prober.Prober
	claims    *claims.Keeper
	crashes   *crashes.Keeper
	mesh      *peer.Mesh
	health    *health.StateTracker
	handler   *exchange.Handler
	callers   *caller.Server
	operators *operator.Server
	dumper    *dump.Dumper
}

func newEntry(c *common.Common) *entry {
	e := &entry{Common: c}
	e.buildPlatform()
	e.buildTargets()
	e.buildPeers()
	e.buildCallers()
	e.buildOperators()
	return e
}

// platformClient returns a client with a bounded connection pool of its own, so that one slow platform service cannot
// use up the connections to the others.
func (e *entry) platformClient() *http.Client {
	return &http.Client{
		Timeout: 10 * e.Settings.PlatformTimeout,
		Transport: &http.Transport{
			MaxConnsPerHost:     maxPlatformConnections,
			MaxIdleConnsPerHost: maxPlatformConnections,
			IdleConnTimeout:     platformIdleTimeout,
		},
	}
}

func (e *entry) buildPlatform() {
	e.store = &store.Store{
		Common: e.Common,
		Client: &table.Client{URL: e.Settings.TableURL, HTTP: e.platformClient()},
	}
	e.store.SetLimits((&catalog.Catalog{}).Limits())
	objects := &objects.Client{URL: e.Settings.ObjectsURL, HTTP: e.platformClient()}
	e.records = &records.Keeper{
		Common:    e.Common,
		Table:     e.store,
		Objects:   objects,
		Broadcast: func(list []record.Record) { e.mesh.BroadcastRecords(list) },
		OnChange:  e.configure,
	}
	e.claims = &claims.Keeper{Common: e.Common, Table: e.store, Objects: objects}
}

// configure applies changed records to the parts that depend on them.
func (e *entry) configure(c *catalog.Catalog) {
	e.store.SetLimits(c.Limits())
	e.directory.Configure(c)
}

func (e *entry) buildTargets() {
	e.directory = &dispatch.Directory{Common: e.Common, NewPicker: e.newPicker}
	e.pool = &target.Pool{Common: e.Common, MaxConnections: e.directory.Share}
	e.prober = &prober.Prober{Common: e.Common, Services: e.directory, Probes: &probe.Client{Targets: e.pool, Dialect: e.dialect()}}
}

func (e *entry) dialect() headers.Protocol {
	return headers.Protocol{Entry: e.Settings.Name}
}

func (e *entry) buildPeers() {
	e.crashes = &crashes.Keeper{Common: e.Common, HasCrashed: e.hasCrashed, TrustClosed: true}
	e.health = &health.StateTracker{Common: e.Common, Records: e.records}
	e.mesh = &peer.Mesh{
		Common:     e.Common,
		VMs:        &vmlist.Client{URL: e.Settings.VMsURL, HTTP: e.platformClient()},
		Records:    e.records,
		Claims:     e.claims,
		Crashes:    e.crashes,
		Services:   e.directory,
		IsDraining: e.health.Draining,
	}
	e.health.PeersSynced = e.mesh.Synced
	e.crashes.ReportToPeers = e.mesh.BroadcastCrash
	e.claims.AskHolder = e.mesh.FetchAnswer
}

func (e *entry) buildCallers() {
	e.handler = &exchange.Handler{
		Common:           e.Common,
		Records:          e.records,
		Services:         e.directory,
		Targets:          e.pool,
		Protocol:         e.dialect(),
		Claims:           e.claims,
		Crashes:          e.crashes,
		Ready:            func() bool { return e.health.State() != entrystate.Starting },
		IsStopping:       e.health.RefusesRequests,
		AnswerBy:         e.health.AnswerBy,
		OnTargetDraining: e.mesh.BroadcastLeaving,
		BufferQuota:      &buffers.Quota{Max: e.Settings.MaxBufferedBytes},
		TransferQuota:    &buffers.Quota{Max: e.Settings.MaxTransferBytes},
	}
	e.callers = &caller.Server{Common: e.Common, Handler: e.withHealth(e.handler)}
	e.mesh.InFlight = e.handler.InFlight
}

// withHealth serves the health checks of the platform's balancer on the callers' address, too.
func (e *entry) withHealth(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/.poplar/healthz":
			e.health.Healthz(w, r)
		case "/.poplar/readyz":
			e.health.Readyz(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (e *entry) buildOperators() {
	e.dumper = &dump.Dumper{
		Common:            e.Common,
		State:             e.health.State,
		Catalog:           e.records.Catalog,
		Revision:          e.records.CompleteRevision,
		Services:          e.directory.Dump,
		Members:           e.mesh.Members,
		Claims:            e.claims.Pending,
		Connections:       e.pool.Connections,
		StoreDown:         e.store.Unavailable,
		Quarantine:        e.crashes.Size,
		InFlight:          e.handler.InFlight,
		BufferedBytes:     e.handler.BufferQuota.Reserved,
		TransferBytes:     e.handler.TransferQuota.Reserved,
		CallerConnections: e.callers.Connections,
	}
	e.mesh.Dump = e.dumper.JSON
	e.operators = &operator.Server{
		Common:      e.Common,
		Records:     e.records,
		Peers:       e.mesh,
		OwnInFlight: e.ownInFlight,
		Dump:        e.dumper.JSON,
		Status:      e.dumper.StatusJSON,
		Healthz:     e.health.Healthz,
		Readyz:      e.health.Readyz,
	}
}

// hasCrashed reports whether the target is no longer in the records or accepts no connections.
func (e *entry) hasCrashed(name string) bool {
	_, t, ok := e.directory.FindTarget(name)
	return !ok || !reach.Reachable(context.Background(), t.Address, crashDialTimeout)
}

// ownInFlight returns the report of this entry, as FetchInFlight does for a peer.
func (e *entry) ownInFlight(service, name string) peer.InFlightReport {
	report := peer.InFlightReport{Entry: e.Settings.Name, Revision: e.records.CompleteRevision()}
	if name == "" {
		report.InFlight, report.AcceptsNew = e.handler.InFlight(), !e.health.Draining()
		return report
	}
	if s, ok := e.directory.Get(service); ok {
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) { report.InFlight, report.AcceptsNew = b.InFlight(now, name) })
	}
	return report
}

// run serves until the signal context ends, and then drains.
func (e *entry) run(signalled context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(signalled))
	defer cancel()
	e.directory.Start()
	e.crashes.Start()
	e.claims.Start()
	for _, start := range []func(context.Context) error{e.mesh.Start, e.operators.Start, e.callers.Start} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	for _, run := range []func(context.Context){
		e.directory.Run, e.pool.Run, e.prober.Run, e.records.Run, e.claims.Run, e.mesh.Run, e.health.Run,
	} {
		go run(ctx)
	}
	e.Log("app").WithField("entry", e.Settings.Name).WithField("incarnation", e.Incarnation).Info("The entry has started.")
	<-signalled.Done()
	e.drain()
	return nil
}

// drain waits until the platform's balancer has noticed the shutdown, finishes the requests in flight, and writes the
// outcomes that are still pending.
func (e *entry) drain() {
	e.Log("app").Info("The entry is draining.")
	e.health.Stop()
	e.callers.CloseIdle()
	time.Sleep(e.Settings.DrainGrace)
	if err := e.callers.Shutdown(e.Settings.DrainTimeout); err != nil {
		e.Log("app").WithError(err).Error("Requests were aborted because the drain timeout has expired.")
	}
	e.awaitClaimWrites()
	e.Log("app").Info("The entry has stopped.")
}

const claimWriteTimeout = 5 * time.Second

func (e *entry) awaitClaimWrites() {
	end := e.Now().Add(claimWriteTimeout)
	for len(e.claims.Pending()) > 0 && e.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
}
