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

// Panel serves the controls of a group of targets; its fields are set before Handler is called.
type Panel struct {
	Targets []*target.Server
	Log     *execlog.Log
}

// Handler returns the routes.
func (p *Panel) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/targets/:name/faults", p.setFaults, http.MethodPut)
	mux.HandleFunc("/targets/:name/crash", p.crash, http.MethodPost)
	mux.HandleFunc("/loads", p.loads, http.MethodGet)
	mux.HandleFunc("/peaks", p.peaks, http.MethodGet)
	mux.HandleFunc("/executions", p.executions, http.MethodGet)
	mux.HandleFunc("/runs", p.runs, http.MethodGet)
	return mux
}

func (p *Panel) find(w http.ResponseWriter, r *http.Request) *target.Server {
	for _, t := range p.Targets {
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
	Lie        bool    `json:"lie"`
	Hang       bool    `json:"hang"`
}

func (p *Panel) setFaults(w http.ResponseWriter, r *http.Request) {
	t := p.find(w, r)
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
		Lie:        wire.Lie,
		Hang:       wire.Hang,
	})
}

func (p *Panel) crash(w http.ResponseWriter, r *http.Request) {
	if t := p.find(w, r); t != nil {
		t.Crash()
	}
}

// loads answers one line for each target: name, running, waiting, slots, slowdown.
func (p *Panel) loads(w http.ResponseWriter, _ *http.Request) {
	for _, t := range p.Targets {
		running, waiting, slowdown := t.Load()
		_, _ = fmt.Fprintf(w, "%s %d %d %d %.2f\n", t.Name, running, waiting, t.Slots, slowdown)
	}
}

// peaks answers one line for each target: name, most probes in a second, open connections.
func (p *Panel) peaks(w http.ResponseWriter, _ *http.Request) {
	for _, t := range p.Targets {
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
	Whole    bool      `json:"whole"`
	Drained  bool      `json:"drained"`
}

func (p *Panel) executions(w http.ResponseWriter, _ *http.Request) {
	list := []wireExecution{}
	for _, e := range p.Log.All() {
		list = append(list, wireExecution(e))
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (p *Panel) runs(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Log.Runs())
}
