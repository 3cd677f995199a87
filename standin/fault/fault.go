package fault

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// State is the set of faults that are injected. The zero value injects none.
type State struct {
	Outage        bool          // connections are closed without a response
	Hang          bool          // requests get no response until the client cancels them
	Delay         time.Duration // added before each request is handled
	LoseResponses float64       // share of requests that take effect and get no response
}

// Injector injects faults into a handler. It is safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	state State
}

// Set replaces the injected faults.
func (i *Injector) Set(state State) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state = state
}

func (i *Injector) get() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// Wrap returns a handler that injects the faults and otherwise calls next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := i.get()
		if state.Outage {
			panic(http.ErrAbortHandler)
		}
		if state.Hang {
			// The server detects that the client closed the connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(state.Delay)
		if rand.Float64() < state.LoseResponses {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
