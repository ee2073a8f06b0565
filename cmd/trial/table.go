package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// writeTable prints one line for each trial.
func writeTable(w io.Writer, results []result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tnodes\tseed\ttrial\tpolicy\tgood\tgoodput\tin share\tfairness\trefused\twrongly\tgave up\tfailed\twait50\twait95\twait99\tlong good\tretried\tretried good\tmessages\t")
	for _, r := range results {
		f := r.figures
		_, _ = fmt.Fprintf(
			t, "%s\t%d\t%d\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.3f\t%.3f\t%s\t%s\t%s\t%.3f\t%d\t%.3f\t%d\t\n",
			r.config.Workload.Name, r.config.Nodes, r.config.Seed, r.label, r.config.Policy,
			f.Good, f.Goodput, f.InShareWorst, f.Fairness, f.Refused, f.WronglyRefused, f.GaveUp, f.Failed,
			millisText(f.ShortWait.P50), millisText(f.ShortWait.P95), millisText(f.ShortWait.P99), f.LongGood, f.Retried, f.RetriedGood, f.Messages,
		)
	}
	return t.Flush()
}

func millisText(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

// writeJSON prints one object for each trial.
func writeJSON(w io.Writer, results []result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(wireResultOf(r)); err != nil {
			return err
		}
	}
	return nil
}
