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

// rig is two entries' keepers over one stand-in platform.
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
		Check:       &invariant.Checker{Fail: func(breach string) { r.t.Error("invariant: " + breach) }},
	}
	guarded := &store.Store{Common: c, Client: &table.Client{URL: r.url, HTTP: &http.Client{}}}
	guarded.Limit(limits.Limits{ReadsPerSecond: 100_000, WritesPerSecond: 100_000, MaxEntries: 1})
	k := &Keeper{Common: c, Table: guarded, Objects: &objects.Client{URL: r.url, HTTP: &http.Client{}}}
	k.Ask = r.ask
	k.Start()
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

// ask plays the peers' part.
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
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = reply.Body.Close()
}

func ticket(key, body string) *Ticket {
	return NewTicket("s", "", key, []byte(body), time.Hour, nil)
}

func bounded(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func (r *rig) claim(entry int, t *Ticket) Result {
	return r.keepers[entry].Claim(bounded(2*time.Second), t)
}

func (r *rig) settled() {
	r.t.Helper()
	end := time.Now().Add(10 * time.Second)
	for len(r.keepers[0].Held())+len(r.keepers[1].Held()) > 0 {
		if time.Now().After(end) {
			r.t.Fatal("got outcomes still in hand after 10 s, want them written")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestASecondSend(t *testing.T) {
	body := func(size int) *answer.Answer { return &answer.Answer{Status: 200, Body: make([]byte, size)} }
	scenarios := []struct {
		name  string
		first func(m *claim.Machine) *answer.Answer // what becomes of the first send
		again string                                // body of the second
		want  Result
	}{
		{"after an answer", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(10) }, "b", Result{Answer: body(10)}},
		{"after a large answer", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(100_000) }, "b", Result{Answer: body(100_000)}},
		{"after an answer that was not kept", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return nil }, "b", Result{Code: code.AnswerNotKept, Run: code.Ran}},
		{"after a break", func(m *claim.Machine) *answer.Answer { m.Send(); m.Break(); return nil }, "b", Result{Code: code.EarlierUnknown, Run: code.Unknown}},
		{"after a proof that it did not run", func(m *claim.Machine) *answer.Answer { m.Send(); m.NotRun(); return nil }, "b", Result{Granted: true}},
		{"after it was never sent", func(*claim.Machine) *answer.Answer { return nil }, "b", Result{Granted: true}},
		{"with another body", func(m *claim.Machine) *answer.Answer { m.Send(); m.Answer(); return body(10) }, "c", Result{Code: code.KeyReused, Run: code.NotRun}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newRig(t)
			first := ticket("k", "b")
			if got := r.claim(0, first); !got.Granted {
				t.Fatalf("got %+v for the first send, want it granted", got)
			}
			r.keepers[0].Settle(first, s.first(&first.Machine))
			r.settled()
			got := r.claim(1, ticket("k", s.again))
			if got.Granted != s.want.Granted || got.Code != s.want.Code || got.Run != s.want.Run {
				t.Errorf("got %+v, want %+v", got, s.want)
			}
			if (got.Answer != nil) != (s.want.Answer != nil) || got.Answer != nil && len(got.Answer.Body) != len(s.want.Answer.Body) {
				t.Errorf("got answer %v, want %v", got.Answer != nil, s.want.Answer != nil)
			}
		})
	}
}

func TestASecondSendWaitsForTheFirst(t *testing.T) {
	r := newRig(t)
	first := ticket("k", "b")
	r.claim(0, first)
	time.AfterFunc(300*time.Millisecond, func() {
		first.Machine.Send()
		first.Machine.Answer()
		r.keepers[0].Settle(first, &answer.Answer{Status: 201})
	})
	if got := r.claim(1, ticket("k", "b")); got.Answer == nil || got.Answer.Status != 201 {
		t.Errorf("got %+v, want the first send's answer", got)
	}
}

func TestADeadHolderLeavesTheOutcomeUnknown(t *testing.T) {
	r := newRig(t)
	r.claim(0, ticket("k", "b"))
	r.keepers[0].Incarnation = 99
	if got := r.claim(1, ticket("k", "b")); got.Code != code.EarlierUnknown || got.Run != code.Unknown {
		t.Errorf("got %+v, want the outcome unknown", got)
	}
}

func TestAnOutageIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t)
	r.fault(`{"outage": true}`)
	for range 4 {
		r.claim(0, ticket("warm-up", "b"))
	}
	begun := time.Now()
	got := r.claim(0, ticket("k", "b"))
	if got.Code != code.StoreUnavailable || got.Run != code.Unknown {
		t.Errorf("got %+v, want 3001 unknown", got)
	}
	if took := time.Since(begun); took > 20*time.Millisecond {
		t.Errorf("got the refusal after %v, want it within 20 ms", took)
	}
	r.fault(`{}`)
	time.Sleep(3 * time.Second) // longest wait between two looks, with its spread
	if got := r.claim(0, ticket("k", "b")); !got.Granted {
		t.Errorf("got %+v after the outage, want the claim granted", got)
	}
}

func TestALostAnswerIsSettledByReadingBack(t *testing.T) {
	r := newRig(t)
	r.fault(`{"lose-answers": 0.5}`)
	for i := range 20 {
		// The breaker may refuse some; none may be granted to both.
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

// TestNoKeyRunsTwice sends keys again and again to both entries under faults that change all the time, and counts runs.
func TestNoKeyRunsTwice(t *testing.T) {
	r := newRig(t)
	run := &randomRun{rig: r, ran: map[string]int{}}
	stop := make(chan struct{})
	var senders, faults sync.WaitGroup
	faults.Go(func() { run.inject(stop) })
	for seed := range uint64(16) {
		senders.Go(func() { run.send(rand.New(rand.NewPCG(seed, 7)), 40) })
	}
	senders.Wait()
	close(stop)
	faults.Wait()
	for key, n := range run.ran {
		if n > 1 {
			t.Errorf("got key %s run %d times, want at most once", key, n)
		}
	}
	if len(run.ran) < 10 {
		t.Errorf("got %d keys run, want at least 10 for the test to mean anything", len(run.ran))
	}
}

type randomRun struct {
	*rig

	mu  sync.Mutex
	ran map[string]int
}

func (r *randomRun) inject(stop chan struct{}) {
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
		result := k.Claim(bounded(400*time.Millisecond), t)
		if result.Granted {
			r.execute(random, k, t, key)
		}
		r.judge(key, result)
	}
}

// execute plays the target: it runs the request, sheds it, or breaks off before or after it ran.
func (r *randomRun) execute(random *rand.Rand, k *Keeper, t *Ticket, key string) {
	t.Machine.Send()
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	var kept *answer.Answer
	switch random.IntN(4) {
	case 0:
		t.Machine.NotRun()
	case 1:
		r.count(key)
		t.Machine.Break()
	case 2:
		t.Machine.Break()
	case 3:
		r.count(key)
		t.Machine.Answer()
		kept = &answer.Answer{Status: 200, Body: []byte(key)}
	}
	k.Settle(t, kept)
}

func (r *randomRun) count(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[key]++
}

func (r *randomRun) judge(key string, result Result) {
	if result.Answer == nil {
		return
	}
	if got := string(result.Answer.Body); got != key {
		r.t.Errorf("got the answer of %s for %s", got, key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ran[key] == 0 {
		r.t.Errorf("got an answer for %s, which never ran", key)
	}
}

func TestCleanUpDeletesOnlyWhatHasExpired(t *testing.T) {
	r := newRig(t)
	k := r.keepers[0]
	for i := range 10 {
		short := ticket(fmt.Sprint("k", i), "b")
		if i >= 5 {
			short.Retention = 100 * time.Hour
		}
		r.claim(0, short)
		short.Machine.Send()
		short.Machine.Answer()
		k.Settle(short, &answer.Answer{Status: 200, Body: make([]byte, 20_000)})
	}
	r.settled()
	later := time.Now().Add(10 * time.Hour)
	k.CleanUp(bounded(time.Second), later)
	rows, err := k.Table.Scan(bounded(time.Second), claimPrefix, "", 100)
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
