package render

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	columnGap  = 2
	tableWidth = 0
)

// Printer writes to Out, as JSON when JSON is set.
type Printer struct {
	Out  io.Writer
	JSON bool
}

// Raw prints JSON text with indentation.
func (p Printer) Raw(data []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(data), "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(p.Out, indented.String())
	return err
}

// Table prints rows under a heading.
func (p Printer) Table(heading []string, rows [][]string) error {
	writer := tabwriter.NewWriter(p.Out, tableWidth, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// Line prints one line of text.
func (p Printer) Line(format string, args ...any) error {
	_, err := fmt.Fprintf(p.Out, format+"\n", args...)
	return err
}
