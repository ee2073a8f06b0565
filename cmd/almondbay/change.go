package main

import (
	"context"
	"fmt"
	"os"

	"almondbay.example/core/revision"
	"almondbay.example/serving/operator/operatorclient"
	"almondbay.example/serving/operator/operatorwire"
)

type applyCommand struct {
	changer

	Args struct {
		Document string `positional-arg-name:"DOCUMENT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Args.Document)
	if err != nil {
		return err
	}
	return c.change(func(ctx context.Context, client *operatorclient.Client, name string, parent uint64) (revision.Entry, error) {
		return client.Accept(ctx, name, c.operation(), parent, body)
	})
}

type promoteCommand struct {
	changer

	Source         string  `long:"source" required:"true" description:"Environment whose document is promoted"`
	SourceRevision *uint64 `long:"source-revision" description:"Revision of the source that you saw; the one in force by default"`
}

// Execute implements flags.Commander.
func (c *promoteCommand) Execute([]string) error {
	return c.change(func(ctx context.Context, client *operatorclient.Client, name string, parent uint64) (revision.Entry, error) {
		source := changer{Parent: c.SourceRevision}
		sourceRevision, err := source.seen(ctx, client, c.Source)
		if err != nil {
			return revision.Entry{}, err
		}
		return client.Promote(ctx, c.Source, name, revision.Promotion{
			Operation: c.operation(), SourceRevision: sourceRevision, Parent: parent,
		})
	})
}

type undoCommand struct {
	changer

	To uint64 `long:"to" required:"true" description:"Revision whose document is wanted"`
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	return c.change(func(ctx context.Context, client *operatorclient.Client, name string, parent uint64) (revision.Entry, error) {
		return client.Undo(ctx, name, revision.UndoRequest{Operation: c.operation(), Parent: parent, To: c.To})
	})
}

// change runs one command that makes a new revision, and shows it.
func (c *changer) change(send func(context.Context, *operatorclient.Client, string, uint64) (revision.Entry, error)) error {
	ctx, cancel, client, err := c.connect(c.session)
	if err != nil {
		return err
	}
	defer cancel()
	name, err := c.name(ctx, client)
	if err != nil {
		return err
	}
	parent, err := c.seen(ctx, client, name)
	if err != nil {
		return err
	}
	entry, err := send(ctx, client, name, parent)
	if err != nil {
		return c.outcome(err, name, parent)
	}
	return c.show(operatorwire.FromEntry(entry), func() string {
		return fmt.Sprintf("%s is at revision %d (document %.12s, operation %s)",
			name, entry.Revision, entry.Hash, entry.Operation)
	})
}

type drainCommand struct {
	reader
	serverOptions

	Cancel bool `long:"cancel" description:"Let the VM receive work again"`
	Args   struct {
		VM string `positional-arg-name:"VM" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel, client, err := c.connect(c.session)
	if err != nil {
		return err
	}
	defer cancel()
	act, done := client.Drain, "receives no new work"
	if c.Cancel {
		act, done = client.ClearDrain, "may receive work again"
	}
	if err := act(ctx, c.Args.VM); err != nil {
		return drainOutcome(err)
	}
	return c.show(drainLine{VM: c.Args.VM, Drained: !c.Cancel}, func() string {
		return fmt.Sprintf("%s %s", c.Args.VM, done)
	})
}
