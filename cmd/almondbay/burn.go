package main

import (
	"bytes"
	"fmt"
	"os"

	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/report"
)

type burnCommand struct {
	outputOptions
	serverOptions

	HTML string `long:"html" description:"Write one self-contained HTML page to this file"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	ctx, cancel, client, err := c.connect(c.invocation)
	if err != nil {
		return err
	}
	defer cancel()
	burn, missing, err := client.Burn(ctx)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		var page bytes.Buffer
		if err := report.Page(&page, burn, missing); err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, page.Bytes(), 0o644); err != nil {
			return err
		}
		return c.show(operatorwire.FromBurn(burn, missing), func() string { return fmt.Sprintf("written to %s", c.HTML) })
	}
	return c.show(operatorwire.FromBurn(burn, missing), func() string { return report.Table(burn, missing) })
}
