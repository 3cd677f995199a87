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
	columnGap      = 2
	minColumnWidth = 0
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

// Table prints rows in aligned columns under a header in upper case.
func (p Printer) Table(header []string, rows [][]string) error {
	writer := tabwriter.NewWriter(p.Out, minColumnWidth, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(header, "\t")))
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
