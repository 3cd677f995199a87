package fault

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// State says what is wrong at present.
type State struct {
	Outage      bool          // connections are cut
	Hang        bool          // requests get no answer until the client gives up
	Delay       time.Duration // added before each request
	LoseAnswers float64       // share of requests that take effect and get no answer
}

// Injector puts the faults before a handler; it is safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	state State
}

// Set replaces the state.
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

// Wrap returns the handler with the faults before it.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := i.get()
		if state.Outage {
			panic(http.ErrAbortHandler)
		}
		if state.Hang {
			// The server notices that the client has left only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(state.Delay)
		if rand.Float64() < state.LoseAnswers {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
