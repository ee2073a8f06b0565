// Command almondbay runs a node of the system and is the operator's client.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add(parser, "serve", "Run a node", &serveCommand{})
	add(parser, "dev", "Run a node with an embedded platform and engines", &devCommand{})
	add(parser, "apply", "Accept a document", &applyCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

// add registers a subcommand.
func add(p *flags.Parser, name, help string, command flags.Commander) {
	if _, err := p.AddCommand(name, help, help+".", command); err != nil {
		panic(err)
	}
}

// exitCode maps an error to the status that the process ends with.
func exitCode(err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	return 1
}
