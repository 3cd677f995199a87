package rank

import (
	"fmt"
	"slices"
	"testing"
)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("entry-%d", i))
	}
	return list
}

func TestOrderIsSharedAndStableUnderRemoval(t *testing.T) {
	list := names(20)
	want := Order("dc", list)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	if got := Order("dc", reversed); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	removed := want[0]
	rest := slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == removed })
	if got := Order("dc", rest); !slices.Equal(got, want[1:]) {
		t.Errorf("without the first: got %v, want %v", got, want[1:])
	}
}

func TestFirstPlaceIsSpreadOverNames(t *testing.T) {
	const keys, entries = 2000, 10
	first := map[string]int{}
	for k := range keys {
		first[Order(fmt.Sprintf("key-%d", k), names(entries))[0]]++
	}
	for _, name := range names(entries) {
		if got, least := first[name], keys/entries/2; got < least {
			t.Errorf("%s came first %d times, want at least %d", name, got, least)
		}
	}
}

// Entries of different builds run side by side and must agree on the order.
func TestOrderIsThatOfEarlierBuilds(t *testing.T) {
	want := []string{"entry-2", "entry-0", "entry-3", "entry-1", "entry-5", "entry-4"}
	if got := Order("dc", names(6)); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
