package report

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Table collects rows and prints them as a Markdown table, which can be copied into a page.
type Table struct {
	Title   string
	Heading []string

	rows [][]string
}

// Row adds a row; durations are printed in milliseconds with two decimals and other fractions with three.
func (t *Table) Row(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, format(cell))
	}
	t.rows = append(t.rows, row)
}

func format(cell any) string {
	switch value := cell.(type) {
	case time.Duration:
		return fmt.Sprintf("%.2f ms", float64(value)/float64(time.Millisecond))
	case float64:
		return fmt.Sprintf("%.3f", value)
	default:
		return fmt.Sprint(cell)
	}
}

// Print writes the table.
func (t *Table) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\n%s\n\n| %s |\n|%s\n", t.Title, strings.Join(t.Heading, " | "), strings.Repeat(" --- |", len(t.Heading)))
	for _, row := range t.rows {
		_, _ = fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
	}
}
