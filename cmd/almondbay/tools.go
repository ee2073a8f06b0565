package main

import (
	"fmt"
	"runtime"

	"github.com/jessevdk/go-flags"

	"almondbay.example/serving/node"
)

// usage returns an error of the command line itself.
func usage(message string) error {
	return &flags.Error{Type: flags.ErrCommandRequired, Message: message}
}

type versionCommand struct {
	reader
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	return c.show(versionLine{Version: node.Version, Go: runtime.Version()}, func() string {
		return fmt.Sprintf("almondbay %s (%s)", node.Version, runtime.Version())
	})
}

type completionCommand struct {
	session *session
	parser  *flags.Parser

	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"true" description:"bash or zsh"`
	} `positional-args:"true"`
}

// bashCompletion asks the program itself, which completes when the variable
// GO_FLAGS_COMPLETION is set.
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
		printLine(c.session.out, bashCompletion)
	case "zsh":
		printLine(c.session.out, zshCompletion)
	default:
		return usage(fmt.Sprintf("no completion for shell %q; bash and zsh are known", c.Args.Shell))
	}
	return nil
}
