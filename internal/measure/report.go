package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report is a table that can be written as text and as CSV.
type Report struct {
	Title  string
	Header []string
	Rows   [][]string
	// Notes are lines below the text table. They are not part of the CSV.
	Notes []string
}

// AddRow appends a row; each value is formatted by fmt.Sprint.
func (r *Report) AddRow(values ...any) {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = fmt.Sprint(value)
	}
	r.Rows = append(r.Rows, row)
}

// WriteText writes the report as an aligned text table with its title and notes.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintln(w, r.Title)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(r.Header, "\t"))
	for _, row := range r.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, note := range r.Notes {
		if _, err := fmt.Fprintln(w, note); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes the header and the rows as CSV.
func (r *Report) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(r.Header); err != nil {
		return err
	}
	return writer.WriteAll(r.Rows)
}
