package code

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestReferencePageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && strings.Count(line, "|") == 6 && line[2] >= '0' && line[2] <= '9' {
			rows++
		}
	}
	if want := len(Table()); rows != want {
		t.Errorf("got %d rows, want %d", rows, want)
	}
	for _, e := range Table() {
		want := fmt.Sprintf("| %d | `%s` | %d | %s |", e.Code, e.Name, e.Status, e.Text)
		if !strings.Contains(string(page), want) {
			t.Errorf("got no row that begins %q", want)
		}
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[Code]bool{}, map[string]bool{}
	for _, e := range Table() {
		if numbers[e.Code] || names[e.Name] {
			t.Errorf("got %d %s twice", e.Code, e.Name)
		}
		numbers[e.Code], names[e.Name] = true, true
	}
}
