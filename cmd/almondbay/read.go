package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/revision"
	"almondbay.example/serving/operator/operatorclient"
	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/status"
)

// withDrainAdvice adds advice to the error of a drain whose outcome is unknown.
func withDrainAdvice(err error) error {
	var unknown *operatorclient.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return err
	}
	return &unknownOutcomeError{cause: err, advice: "Repeat the command, or look for the VM in the output of: almondbay status"}
}

type diffCommand struct {
	outputOptions
	serverOptions
	environmentOptions

	Source string `long:"source" description:"Environment whose document is compared, in place of a file"`
	Args   struct {
		Document string `positional-arg-name:"DOCUMENT"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if (c.Source == "") == (c.Args.Document == "") {
		return usageError("give either a DOCUMENT or --source")
	}
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	environment, err := c.resolve(ctx, client)
	if err != nil {
		return err
	}
	entry, before, err := currentDocument(ctx, client, environment)
	if err != nil {
		return err
	}
	after, err := c.proposedDocument(ctx, client)
	if err != nil {
		return err
	}
	changes := document.Difference(before, after)
	return c.show(diffOutput{
		Environment: environment, Revision: entry.Revision, Changes: operatorwire.FromChanges(changes),
	}, func() string { return diffText(environment, entry, changes) })
}

func diffText(environment string, entry revision.Entry, changes []document.Change) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s is at revision %d\n", environment, entry.Revision)
	if len(changes) == 0 {
		text.WriteString("no changes\n")
	}
	for _, change := range changes {
		fmt.Fprintln(&text, change)
	}
	return text.String()
}

// proposedDocument returns the document to compare with the one in force.
func (c *diffCommand) proposedDocument(ctx context.Context, client *operatorclient.Client) (document.Document, error) {
	if c.Source != "" {
		entry, d, err := currentDocument(ctx, client, c.Source)
		if err == nil && entry.Revision == 0 {
			err = fmt.Errorf("environment %q has no document", c.Source)
		}
		return d, err
	}
	body, err := os.ReadFile(c.Args.Document)
	if err != nil {
		return document.Document{}, err
	}
	d, faults := document.Parse(c.Args.Document, body)
	return d, faults.Err()
}

// currentDocument returns the document in force in an environment, or an empty
// document with revision 0 when there is none.
func currentDocument(ctx context.Context, client *operatorclient.Client, environment string) (revision.Entry, document.Document, error) {
	entry, body, err := client.Document(ctx, environment, 0)
	if err != nil || entry.Revision == 0 {
		return entry, document.Document{}, err
	}
	d, faults := document.Parse(entry.Hash, body)
	return entry, d, faults.Err()
}

type historyCommand struct {
	outputOptions
	serverOptions
	environmentOptions
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	environment, err := c.resolve(ctx, client)
	if err != nil {
		return err
	}
	entries, err := client.History(ctx, environment)
	if err != nil {
		return err
	}
	wire := operatorwire.History{Environment: environment, Entries: []operatorwire.Entry{}}
	for _, e := range entries {
		wire.Entries = append(wire.Entries, operatorwire.FromEntry(e))
	}
	return c.show(wire, func() string {
		return table("REVISION\tACCEPTED\tKIND\tSOURCE\tAUTHOR\tDOCUMENT\tOPERATION", func(row func(...any)) {
			for _, e := range entries {
				row(e.Revision, e.AcceptedAt.Format(time.RFC3339), e.Kind, formatSource(e.Source), e.Author, fmt.Sprintf("%.12s", e.Hash), e.Operation)
			}
		})
	})
}

func formatSource(s revision.Source) string {
	if s == (revision.Source{}) {
		return "-"
	}
	return fmt.Sprintf("%s/%d", s.Environment, s.Revision)
}

type statusCommand struct {
	outputOptions
	serverOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return c.show(operatorwire.FromStatus(s), func() string { return statusText(s) })
}

func statusText(s status.Status) string {
	var text strings.Builder
	fmt.Fprintf(&text, "node %s in %s, environment %s, version %s\n", s.Node, s.FailureDomain, s.Environment, s.Version)
	fmt.Fprintf(&text, "ready: %t %s\n", s.Ready, strings.Join(s.Reasons, "; "))
	fmt.Fprintf(&text, "revision %d in force, confirmed by the platform: %t\n", s.Revision.Revision, s.Revision.Confirmed)
	fmt.Fprintf(&text, "replica groups missing: %d\n", s.Distance())
	fmt.Fprintf(&text, "fabric domains controlled here: %s\n\n", strings.Join(s.Leases, ", "))
	text.WriteString(table("MODEL\tVERSION\tWANTED\tSERVING", func(row func(...any)) {
		for _, m := range s.Models {
			row(m.Name, m.Version, m.Wanted, m.Serving)
		}
	}))
	text.WriteString("\n" + table("GROUP\tMODEL\tVERSION\tEPOCH\tSTATE\tSERVING\tMEMBERS", func(row func(...any)) {
		for _, g := range s.Groups {
			row(g.ID, g.Model, g.Version, g.Epoch, g.State, g.Serving, strings.Join(g.Members, ","))
		}
	}))
	text.WriteString("\n" + table("VM\tROLE\tDOMAIN\tSTATE\tPHASE\tDRAINED", func(row func(...any)) {
		for _, vm := range s.VMs {
			row(vm.ID, vm.Role, vm.FailureDomain, vm.State, vm.Phase, vm.Drained)
		}
	}))
	if len(s.Nodes) == 0 {
		return text.String()
	}
	text.WriteString("\n" + table("NODE\tDOMAIN\tREVISION\tSEEN", func(row func(...any)) {
		for _, n := range s.Nodes {
			row(n.ID, n.FailureDomain, n.Revision, formatSeen(s.At, n.SeenAt))
		}
	}))
	for _, n := range s.Lagging() {
		fmt.Fprintf(&text, "\nnode %s in %s lags at revision %d", n.ID, n.FailureDomain, n.Revision)
	}
	return text.String()
}

func formatSeen(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

// table formats rows in aligned columns under a header line.
func table(header string, rows func(row func(...any))) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(func(values ...any) {
		for i, value := range values {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, value)
		}
		_, _ = fmt.Fprintln(w)
	})
	_ = w.Flush()
	return text.String()
}
