package claims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/answer"
	"poplarworks/core/claim"
	"poplarworks/core/claimrow"
	"poplarworks/core/code"
	"poplarworks/core/invariant"
	"poplarworks/core/limits"
	"poplarworks/entry/common"
	"poplarworks/entry/objects"
	"poplarworks/entry/settings"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
	"poplarworks/standin/platform"
)

// rig holds the keepers of two entries that share one stand-in platform.
type rig struct {
	t       *testing.T
	url     string
	keepers []*Keeper
}

func newRig(t *testing.T) *rig {
	t.Helper()
	server := httptest.NewServer((&platform.Server{}).Handler())
	t.Cleanup(server.Close)
	r := &rig{t: t, url: server.URL}
	for i := range 2 {
		r.keepers = append(r.keepers, r.keeper(fmt.Sprintf("entry-%d", i+1), uint64(i+1)))
	}
	return r
}

func (r *rig) keeper(name string, incarnation uint64) *Keeper {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := &common.Common{
		Settings:    settings.Settings{Name: name, PlatformTimeout: 100 * time.Millisecond},
		Logger:      logger,
		Metrics:     metrics.NewRegistry(),
		Incarnation: incarnation,
		Check:       &invariant.Checker{Fail: func(violation string) { r.t.Error("invariant: " + violation) }},
	}
	limitedStore := &store.Store{Common: c, Client: &table.Client{URL: r.url, HTTP: &http.Client{}}}
	limitedStore.SetLimits(limits.Limits{ReadsPerSecond: 100_000, WritesPerSecond: 100_000, MaxEntries: 1})
	k := &Keeper{Common: c, Table: limitedStore, Objects: &objects.Client{URL: r.url, HTTP: &http.Client{}}}
	k.AskHolder = r.ask
	k.Start()
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

// ask stands in for the request to the peer that holds the claim.
func (r *rig) ask(ctx context.Context, row claimrow.Row, _ string) (*answer.Answer, bool) {
	for _, k := range r.keepers {
		if k.Settings.Name == row.Entry && k.Incarnation == row.Incarnation {
			return k.Await(ctx, row.Nonce)
		}
	}
	return nil, false
}

func (r *rig) fault(text string) {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, r.url+"/control/fault/table", strings.NewReader(text))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func ticket(key, body string) *Ticket {
	return NewTicket("s", "", key, []byte(body), time.Hour, nil)
}

func withTimeout(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func (r *rig) claim(entry int, t *Ticket) Result {
	return r.keepers[entry].Claim(withTimeout(2*time.Second), t)
}

func (r *rig) waitForOutcomes() {
	r.t.Helper()
	end := time.Now().Add(10 * time.Second)
	for len(r.keepers[0].Pending())+len(r.keepers[1].Pending()) > 0 {
		if time.Now().After(end) {
			r.t.Fatal("got outcomes still pending after 10 s, want them written")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSecondSend(t *testing.T) {
	body := func(size int) *answer.Answer { return &answer.Answer{Status: 200, Body: make([]byte, size)} }
	scenarios := []struct {
		name       string
		first      func(m *claim.Machine) *answer.Answer // ends the first send
		secondBody string                                // body of the second send
		want       Result
	}{
		{"after an answer", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(10) }, "b", Result{Answer: body(10)}},
		{"after a large answer", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(100_000) }, "b", Result{Answer: body(100_000)}},
		{"after an answer that was not kept", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return nil }, "b", Result{Code: code.AnswerNotKept, Execution: code.Ran}},
		{"after a connection broke", func(m *claim.Machine) *answer.Answer { m.Send(); m.EndWithoutAnswer(); return nil }, "b", Result{Code: code.EarlierUnknown, Execution: code.Unknown}},
		{"after a proof that it did not run", func(m *claim.Machine) *answer.Answer { m.Send(); m.NotRun(); return nil }, "b", Result{Granted: true}},
		{"after a request that was never sent", func(*claim.Machine) *answer.Answer { return nil }, "b", Result{Granted: true}},
		{"with another body", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(10) }, "c", Result{Code: code.KeyReused, Execution: code.NotRun}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newRig(t)
			first := ticket("k", "b")
			if got := r.claim(0, first); !got.Granted {
				t.Fatalf("got %+v for the first send, want it granted", got)
			}
			r.keepers[0].RecordOutcome(first, s.first(&first.Machine))
			r.waitForOutcomes()
			got := r.claim(1, ticket("k", s.secondBody))
			if got.Granted != s.want.Granted || got.Code != s.want.Code || got.Execution != s.want.Execution {
				t.Errorf("got %+v, want %+v", got, s.want)
			}
			if (got.Answer != nil) != (s.want.Answer != nil) || got.Answer != nil && len(got.Answer.Body) != len(s.want.Answer.Body) {
				t.Errorf("got answer %v, want %v", got.Answer != nil, s.want.Answer != nil)
			}
		})
	}
}

func TestSecondSendWaitsForTheFirst(t *testing.T) {
	r := newRig(t)
	first := ticket("k", "b")
	r.claim(0, first)
	time.AfterFunc(300*time.Millisecond, func() {
		first.Machine.Send()
		first.Machine.Answer()
		r.keepers[0].RecordOutcome(first, &answer.Answer{Status: 201})
	})
	if got := r.claim(1, ticket("k", "b")); got.Answer == nil || got.Answer.Status != 201 {
		t.Errorf("got %+v, want the first send's answer", got)
	}
}

func TestOutcomeIsUnknownWhenTheHolderIsGone(t *testing.T) {
	r := newRig(t)
	r.claim(0, ticket("k", "b"))
	r.keepers[0].Incarnation = 99
	if got := r.claim(1, ticket("k", "b")); got.Code != code.EarlierUnknown || got.Execution != code.Unknown {
		t.Errorf("got %+v, want the outcome unknown", got)
	}
}

func TestClaimFailsFastDuringAnOutage(t *testing.T) {
	r := newRig(t)
	r.fault(`{"outage": true}`)
	for range 4 {
		r.claim(0, ticket("warm-up", "b"))
	}
	start := time.Now()
	got := r.claim(0, ticket("k", "b"))
	if got.Code != code.StoreUnavailable || got.Execution != code.Unknown {
		t.Errorf("got %+v, want 3001 unknown", got)
	}
	if took := time.Since(start); took > 20*time.Millisecond {
		t.Errorf("got the refusal after %v, want it within 20 ms", took)
	}
	r.fault(`{}`)
	time.Sleep(3 * time.Second) // the longest interval between two checks of the store, with its jitter
	if got := r.claim(0, ticket("k", "b")); !got.Granted {
		t.Errorf("got %+v after the outage, want the claim granted", got)
	}
}

func TestClaimIsGrantedOnceWhenStoreResponsesAreLost(t *testing.T) {
	r := newRig(t)
	r.fault(`{"lose-answers": 0.5}`)
	for i := range 20 {
		// The breaker may refuse some claims; no claim may be granted to both entries.
		granted := 0
		for entry := range 2 {
			if r.claim(entry, ticket(fmt.Sprint("k", i), fmt.Sprint("b", entry))).Granted {
				granted++
			}
		}
		if granted > 1 {
			t.Fatalf("got the claim granted %d times, want at most once", granted)
		}
	}
}

// TestNoKeyRunsTwice sends the same keys repeatedly to both entries under changing faults, and counts the executions.
func TestNoKeyRunsTwice(t *testing.T) {
	r := newRig(t)
	run := &randomRun{rig: r, executions: map[string]int{}}
	stop := make(chan struct{})
	var senders, faults sync.WaitGroup
	faults.Go(func() { run.injectFaults(stop) })
	for seed := range uint64(16) {
		senders.Go(func() { run.send(rand.New(rand.NewPCG(seed, 7)), 40) })
	}
	senders.Wait()
	close(stop)
	faults.Wait()
	for key, n := range run.executions {
		if n > 1 {
			t.Errorf("got key %s run %d times, want at most once", key, n)
		}
	}
	if len(run.executions) < 10 {
		t.Errorf("got %d keys run, want at least 10 for a meaningful test", len(run.executions))
	}
}

type randomRun struct {
	*rig

	mu         sync.Mutex
	executions map[string]int
}

func (r *randomRun) injectFaults(stop chan struct{}) {
	faults := []string{`{}`, `{}`, `{"lose-answers": 0.4}`, `{"delay-ms": 60}`, `{"delay-ms": 120}`, `{"outage": true}`, `{"hang": true}`}
	for i := 0; ; i++ {
		select {
		case <-stop:
			r.fault(`{}`)
			return
		case <-time.After(80 * time.Millisecond):
			r.fault(faults[i%len(faults)])
		}
	}
}

func (r *randomRun) send(random *rand.Rand, times int) {
	for range times {
		key := fmt.Sprint("k", random.IntN(30))
		t := ticket(key, key)
		k := r.keepers[random.IntN(2)]
		result := k.Claim(withTimeout(400*time.Millisecond), t)
		if result.Granted {
			r.execute(random, k, t, key)
		}
		r.checkAnswer(key, result)
	}
}

// execute stands in for the target: it runs the request, sheds it, or closes the connection before or after running it.
func (r *randomRun) execute(random *rand.Rand, k *Keeper, t *Ticket, key string) {
	t.Machine.Send()
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	var ans *answer.Answer
	switch random.IntN(4) {
	case 0:
		t.Machine.NotRun()
	case 1:
		r.count(key)
		t.Machine.EndWithoutAnswer()
	case 2:
		t.Machine.EndWithoutAnswer()
	case 3:
		r.count(key)
		t.Machine.Answer()
		ans = &answer.Answer{Status: 200, Body: []byte(key)}
	}
	k.RecordOutcome(t, ans)
}

func (r *randomRun) count(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[key]++
}

func (r *randomRun) checkAnswer(key string, result Result) {
	if result.Answer == nil {
		return
	}
	if got := string(result.Answer.Body); got != key {
		r.t.Errorf("got the answer of %s for %s", got, key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executions[key] == 0 {
		r.t.Errorf("got an answer for %s, which never ran", key)
	}
}

func TestCleanUpDeletesOnlyExpiredClaims(t *testing.T) {
	r := newRig(t)
	k := r.keepers[0]
	for i := range 10 {
		expiring := ticket(fmt.Sprint("k", i), "b")
		if i >= 5 {
			expiring.Retention = 100 * time.Hour
		}
		r.claim(0, expiring)
		expiring.Machine.Send()
		expiring.Machine.Answer()
		k.RecordOutcome(expiring, &answer.Answer{Status: 200, Body: make([]byte, 20_000)})
	}
	r.waitForOutcomes()
	later := time.Now().Add(10 * time.Hour)
	k.CleanUp(withTimeout(time.Second), later)
	rows, err := k.Table.Scan(withTimeout(time.Second), claimPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(rows), 5; got != want {
		t.Errorf("got %d claims after the clean-up, want %d", got, want)
	}
	if got := r.claim(1, ticket("k9", "b")); got.Answer == nil {
		t.Errorf("got %+v for a key that has not expired, want its answer", got)
	}
}
