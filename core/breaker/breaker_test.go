package breaker

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := &Breaker{Threshold: 3, InitialWait: 100 * time.Millisecond, MaxWait: time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	for i := range 3 {
		if !b.Allow(now) {
			t.Fatalf("got refused after %d failures, want allowed", i)
		}
		b.Failure(now)
	}
	if b.Allow(now) {
		t.Fatal("got allowed at once after three failures, want refused")
	}
	now = now.Add(2 * time.Second)
	if !b.Allow(now) {
		t.Fatal("got refused after the wait, want one trial call")
	}
	if b.Allow(now) {
		t.Error("got a second trial call beside the first, want one at a time")
	}
	b.Failure(now)
	if b.Allow(now) {
		t.Error("got allowed at once after a failed trial call, want refused")
	}
	now = now.Add(2 * time.Second)
	if !b.Allow(now) {
		t.Fatal("got refused after the second wait, want a trial call")
	}
	b.Success()
	for range 2 {
		if !b.Allow(now) {
			t.Error("got refused after a success, want allowed")
		}
	}
}
