package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/alexedwards/flow"

	"poplarworks/standin/execlog"
	"poplarworks/standin/target"
)

// API is the control API of a group of targets. Its fields must be set before Handler is called.
type API struct {
	Targets []*target.Server
	Log     *execlog.Log
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/targets/:name/faults", a.setFaults, http.MethodPut)
	mux.HandleFunc("/targets/:name/crash", a.crash, http.MethodPost)
	mux.HandleFunc("/loads", a.loads, http.MethodGet)
	mux.HandleFunc("/peaks", a.peaks, http.MethodGet)
	mux.HandleFunc("/executions", a.executions, http.MethodGet)
	mux.HandleFunc("/runs", a.runs, http.MethodGet)
	return mux
}

func (a *API) find(w http.ResponseWriter, r *http.Request) *target.Server {
	for _, t := range a.Targets {
		if t.Name == r.PathValue("name") {
			return t
		}
	}
	http.NotFound(w, r)
	return nil
}

type wireFaults struct {
	SlowFactor float64 `json:"slow-factor"`
	FailFast   bool    `json:"fail-fast"`
	Shed       bool    `json:"shed"`
	Drain      bool    `json:"drain"`
	ReportIdle bool    `json:"lie"`
	Hang       bool    `json:"hang"`
}

func (a *API) setFaults(w http.ResponseWriter, r *http.Request) {
	t := a.find(w, r)
	if t == nil {
		return
	}
	var wire wireFaults
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(target.Faults{
		SlowFactor: wire.SlowFactor,
		FailFast:   wire.FailFast,
		Shed:       wire.Shed,
		Drain:      wire.Drain,
		ReportIdle: wire.ReportIdle,
		Hang:       wire.Hang,
	})
}

func (a *API) crash(w http.ResponseWriter, r *http.Request) {
	if t := a.find(w, r); t != nil {
		t.Crash()
	}
}

// loads writes one line for each target: name, running, waiting, slots, slowdown.
func (a *API) loads(w http.ResponseWriter, _ *http.Request) {
	for _, t := range a.Targets {
		running, waiting, slowdown := t.CurrentLoad()
		_, _ = fmt.Fprintf(w, "%s %d %d %d %.2f\n", t.Name, running, waiting, t.Slots, slowdown)
	}
}

// peaks writes one line for each target: name, peak number of probes within a second, open connections.
func (a *API) peaks(w http.ResponseWriter, _ *http.Request) {
	for _, t := range a.Targets {
		_, _ = fmt.Fprintf(w, "%s %d %d\n", t.Name, t.ProbePeak(), t.ConnectionCount())
	}
}

type wireExecution struct {
	Target   string    `json:"target"`
	Key      string    `json:"key,omitempty"`
	Token    string    `json:"token,omitempty"`
	Method   string    `json:"method"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	Complete bool      `json:"whole"`
	Draining bool      `json:"drained"`
}

func (a *API) executions(w http.ResponseWriter, _ *http.Request) {
	list := []wireExecution{}
	for _, e := range a.Log.All() {
		list = append(list, wireExecution(e))
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (a *API) runs(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(a.Log.Runs())
}
