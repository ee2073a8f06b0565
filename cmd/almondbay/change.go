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
	revisionCommand

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
	return c.submit(func(ctx context.Context, client *operatorclient.Client, environment string, parent uint64) (revision.Entry, error) {
		return client.Accept(ctx, environment, c.operationID(), parent, body)
	})
}

type promoteCommand struct {
	revisionCommand

	Source         string  `long:"source" required:"true" description:"Environment whose document is promoted"`
	SourceRevision *uint64 `long:"source-revision" description:"Revision of the source that you saw; the one in force by default"`
}

// Execute implements flags.Commander.
func (c *promoteCommand) Execute([]string) error {
	return c.submit(func(ctx context.Context, client *operatorclient.Client, environment string, parent uint64) (revision.Entry, error) {
		source := revisionCommand{Parent: c.SourceRevision}
		sourceRevision, err := source.expectedRevision(ctx, client, c.Source)
		if err != nil {
			return revision.Entry{}, err
		}
		return client.Promote(ctx, c.Source, environment, revision.Promotion{
			Operation: c.operationID(), SourceRevision: sourceRevision, Parent: parent,
		})
	})
}

type undoCommand struct {
	revisionCommand

	To uint64 `long:"to" required:"true" description:"Revision whose document is wanted"`
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	return c.submit(func(ctx context.Context, client *operatorclient.Client, environment string, parent uint64) (revision.Entry, error) {
		return client.Undo(ctx, environment, revision.UndoRequest{Operation: c.operationID(), Parent: parent, To: c.To})
	})
}

// submit calls send with the environment and the expected revision and prints
// the revision that it creates.
func (c *revisionCommand) submit(send func(context.Context, *operatorclient.Client, string, uint64) (revision.Entry, error)) error {
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	environment, err := c.resolve(ctx, client)
	if err != nil {
		return err
	}
	parent, err := c.expectedRevision(ctx, client, environment)
	if err != nil {
		return err
	}
	entry, err := send(ctx, client, environment, parent)
	if err != nil {
		return c.withRetryAdvice(err, environment, parent)
	}
	return c.show(operatorwire.FromEntry(entry), func() string {
		return fmt.Sprintf("%s is at revision %d (document %.12s, operation %s)",
			environment, entry.Revision, entry.Hash, entry.Operation)
	})
}

type drainCommand struct {
	outputOptions
	serverOptions

	Cancel bool `long:"cancel" description:"Let the VM receive work again"`
	Args   struct {
		VM string `positional-arg-name:"VM" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	request, effect := client.Drain, "receives no new work"
	if c.Cancel {
		request, effect = client.ClearDrain, "may receive work again"
	}
	if err := request(ctx, c.Args.VM); err != nil {
		return withDrainAdvice(err)
	}
	return c.show(drainOutput{VM: c.Args.VM, Drained: !c.Cancel}, func() string {
		return fmt.Sprintf("%s %s", c.Args.VM, effect)
	})
}
