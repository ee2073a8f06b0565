// Package report renders the report on service-level burn for operators, as a text
// table and as a self-contained HTML page.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/core/burn"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

// Table returns the report as a text table, followed by the names of the nodes
// whose counts are missing.
func Table(r burn.Report, missing []string) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "WORKSPACE\tMODEL\tTARGET\tREQUESTS\tBAD")
	for _, length := range windowLengths(r) {
		_, _ = fmt.Fprintf(w, "\t%s", formatDuration(length))
	}
	_, _ = fmt.Fprintln(w, "\tBUDGET LEFT\tALERTS")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d", row.Workspace, row.Model, percent(row.Objective.Target), row.Count.Total(), row.Count.Bad)
		for _, window := range row.Windows {
			_, _ = fmt.Fprintf(w, "\t%.2f", window.Rate)
		}
		_, _ = fmt.Fprintf(w, "\t%s\t%s\n", percent(row.BudgetLeft), firing(row))
	}
	_ = w.Flush()
	if len(r.Rows) == 0 {
		text.WriteString("no requests under an objective in the period\n")
	}
	if len(missing) > 0 {
		fmt.Fprintf(&text, "counts missing from: %s\n", strings.Join(missing, ", "))
	}
	return text.String()
}

// windowLengths returns the lengths of the windows, which are the same for all
// rows.
func windowLengths(r burn.Report) []time.Duration {
	if len(r.Rows) == 0 {
		return nil
	}
	var lengths []time.Duration
	for _, w := range r.Rows[0].Windows {
		lengths = append(lengths, w.Length)
	}
	return lengths
}

// firing returns the names of the alert rules that fire, or "-" if none does.
func firing(row burn.Row) string {
	var names []string
	for _, a := range row.Alerts {
		if a.Firing {
			names = append(names, a.Rule)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

func percent(fraction float64) string {
	return fmt.Sprintf("%.4g%%", 100*fraction)
}

// formatDuration formats a duration without trailing zero units: 1h instead of
// 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent":  percent,
	"duration": formatDuration,
	"firing":   firing,
	"left":     func(row burn.Row) string { return fmt.Sprintf("%.1f%%", 100*max(0, min(1, row.BudgetLeft))) },
}).Parse(pageText))

// pageData is the input of the page template.
type pageData struct {
	Report  burn.Report
	Windows []time.Duration
	Missing []string
	Rows    []pageRow
}

type pageRow struct {
	burn.Row
	// Plot is an SVG element.
	Plot template.HTML
}

// Page writes the report as a self-contained HTML page with a plot for each
// workspace and model.
func Page(w io.Writer, r burn.Report, missing []string) error {
	data := pageData{Report: r, Windows: windowLengths(r), Missing: missing}
	for _, row := range r.Rows {
		var svg bytes.Buffer
		if err := plotRow(&svg, r, row); err != nil {
			return err
		}
		// The plot has only numbers and constant labels, no external names, so
		// it needs no escaping.
		data.Rows = append(data.Rows, pageRow{Row: row, Plot: template.HTML(svg.String())}) //nolint:gosec // See above.
	}
	return Error.Wrap(pageTemplate.Execute(w, data))
}
