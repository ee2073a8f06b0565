// Command standin runs simulations of the systems that almondbay depends on: the
// platform, members of replica groups and plain services.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "platform", "Run the platform: table service, object store and list of VMs", &platformCommand{})
	addCommand(parser, "engine", "Run one member of a replica group", &engineCommand{})
	addCommand(parser, "service", "Run a plain service", &serviceCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

// addCommand registers a subcommand.
func addCommand(p *flags.Parser, name, help string, command flags.Commander) {
	if _, err := p.AddCommand(name, help, help+".", command); err != nil {
		panic(err)
	}
}

// exitCode maps an error to the exit code of the process.
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
