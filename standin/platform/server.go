package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"

	"poplarworks/standin/fault"
	"poplarworks/standin/objects"
	"poplarworks/standin/table"
	"poplarworks/standin/vmlist"
)

const maxBodyBytes = 64 << 20

// Server simulates the platform. VMListLag must be set before Handler is called.
type Server struct {
	VMListLag time.Duration // delay until readers see a change of the VM list

	table   table.Table
	objects objects.Store
	vms     vmlist.List
	faults  map[string]*fault.Injector
	reads   atomic.Int64
	writes  atomic.Int64
}

// Handler returns the handler of all three services and of the control API.
func (s *Server) Handler() http.Handler {
	s.vms.Lag = s.VMListLag
	s.faults = map[string]*fault.Injector{"table": {}, "objects": {}, "vms": {}}
	mux := flow.New()
	wrap := func(service string, handler http.HandlerFunc) http.Handler {
		return s.faults[service].Wrap(handler)
	}
	mux.Handle("/table/get", wrap("table", s.get), http.MethodPost)
	mux.Handle("/table/scan", wrap("table", s.scan), http.MethodPost)
	mux.Handle("/table/transact", wrap("table", s.transact), http.MethodPost)
	mux.Handle("/objects/...", wrap("objects", s.object), http.MethodGet, http.MethodPut, http.MethodDelete)
	mux.Handle("/vms/:reader", wrap("vms", s.listVMs), http.MethodGet)
	mux.HandleFunc("/control/vms/:reader", s.setVMs, http.MethodPut)
	mux.HandleFunc("/control/fault/:part", s.setFault, http.MethodPut)
	mux.HandleFunc("/control/counts", s.counts, http.MethodGet)
	return mux
}

type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Delete  bool   `json:"delete,omitempty"`
}

type wireRequest struct {
	Keys       []string  `json:"keys"`
	Prefix     string    `json:"prefix"`
	After      string    `json:"after"`
	Limit      int       `json:"limit"`
	Conditions []wireRow `json:"conditions"`
	Writes     []wireRow `json:"writes"`
}

type wireResponse struct {
	Rows []wireRow `json:"rows"`
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func rowsResponse(rows []table.Row) wireResponse {
	response := wireResponse{Rows: make([]wireRow, 0, len(rows))}
	for _, row := range rows {
		response.Rows = append(response.Rows, wireRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return response
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var request wireRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.reads.Add(1)
	writeJSON(w, http.StatusOK, rowsResponse(s.table.Get(request.Keys)))
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var request wireRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.reads.Add(1)
	writeJSON(w, http.StatusOK, rowsResponse(s.table.Scan(request.Prefix, request.After, request.Limit)))
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var request wireRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.writes.Add(1)
	var conditions []table.Row
	for _, c := range request.Conditions {
		conditions = append(conditions, table.Row{Key: c.Key, Version: c.Version})
	}
	var writes []table.Write
	for _, c := range request.Writes {
		writes = append(writes, table.Write{Key: c.Key, Value: c.Value, Delete: c.Delete})
	}
	if conflicts := s.table.Transact(conditions, writes); len(conflicts) > 0 {
		writeJSON(w, http.StatusConflict, rowsResponse(conflicts))
		return
	}
	writeJSON(w, http.StatusOK, wireResponse{})
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("...")
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.writes.Add(1)
		s.objects.Put(name, body)
	case http.MethodDelete:
		s.writes.Add(1)
		s.objects.Delete(name)
	default:
		s.reads.Add(1)
		body, ok := s.objects.Get(name)
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(body)
	}
}

type wireVM struct {
	Name       string `json:"name"`
	Peer       string `json:"peer"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	list := []wireVM{}
	for _, vm := range s.vms.Get(r.PathValue("reader"), time.Now()) {
		list = append(list, wireVM{Name: vm.Name, Peer: vm.Peer.String(), DataCentre: vm.DataCentre, Leaving: vm.Leaving})
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var list []wireVM
	if !readJSON(w, r, &list) {
		return
	}
	var vms []vmlist.VM
	for _, vm := range list {
		peer, err := netip.ParseAddrPort(vm.Peer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		vms = append(vms, vmlist.VM{Name: vm.Name, Peer: peer, DataCentre: vm.DataCentre, Leaving: vm.Leaving})
	}
	reader := r.PathValue("reader")
	if reader == "all" {
		reader = ""
	}
	s.vms.Set(reader, vms, time.Now())
}

type wireFault struct {
	Outage            bool    `json:"outage"`
	Hang              bool    `json:"hang"`
	DelayMilliseconds int     `json:"delay-ms"`
	LoseResponses     float64 `json:"lose-answers"`
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var request wireFault
	injector, ok := s.faults[r.PathValue("part")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	if !readJSON(w, r, &request) {
		return
	}
	injector.Set(fault.State{
		Outage:        request.Outage,
		Hang:          request.Hang,
		Delay:         time.Duration(request.DelayMilliseconds) * time.Millisecond,
		LoseResponses: request.LoseResponses,
	})
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]int64{"reads": s.reads.Load(), "writes": s.writes.Load()})
}
