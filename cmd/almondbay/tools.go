package main

import (
	"fmt"
	"runtime"

	"github.com/jessevdk/go-flags"

	"almondbay.example/serving/node"
)

// usageError returns an error that makes the process exit with exitUsage.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrCommandRequired, Message: message}
}

type versionCommand struct {
	outputOptions
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	return c.show(versionOutput{Version: node.Version, Go: runtime.Version()}, func() string {
		return fmt.Sprintf("almondbay %s (%s)", node.Version, runtime.Version())
	})
}

type completionCommand struct {
	invocation *invocation
	parser     *flags.Parser

	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"true" description:"bash or zsh"`
	} `positional-args:"true"`
}

// bashCompletion calls the program itself: with GO_FLAGS_COMPLETION set, go-flags
// prints completions instead of running a command.
const bashCompletion = `_almondbay() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _almondbay almondbay`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	switch c.Args.Shell {
	case "bash":
		printLine(c.invocation.out, bashCompletion)
	case "zsh":
		printLine(c.invocation.out, zshCompletion)
	default:
		return usageError(fmt.Sprintf("no completion script for shell %q; bash and zsh are supported", c.Args.Shell))
	}
	return nil
}
