package main

import (
	"slices"

	"github.com/jessevdk/go-flags"

	"almondbay.example/platform"
)

// subcommand describes one command of the program.
type subcommand struct {
	name    string
	summary string
	// description explains the command in a paragraph of its help.
	description string
	example     string
	command     flags.Commander
	children    []subcommand
}

// newParser returns the parser of the whole command line.
func newParser(inv *invocation) *flags.Parser {
	parser := flags.NewNamedParser("almondbay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serve language models whose replicas span several VMs"
	for _, c := range subcommands(inv, parser) {
		addCommand(parser.Command, c)
	}
	return parser
}

// addCommand registers a command, with the example in its help, and its children.
func addCommand(parent *flags.Command, c subcommand) {
	long := c.description
	if c.example != "" {
		long += "\n\nExample:\n  " + c.example
	}
	data := any(c.command)
	if c.command == nil {
		data = &struct{}{}
	}
	registered, err := parent.AddCommand(c.name, c.summary, long, data)
	if err != nil {
		// The commands are fixed in this file, so every test fails here when one
		// of them is defined wrongly.
		panic(err)
	}
	for _, child := range c.children {
		addCommand(registered, child)
	}
}

// subcommands lists all commands.
func subcommands(inv *invocation, parser *flags.Parser) []subcommand {
	output := outputOptions{invocation: inv}
	return slices.Concat(nodeCommands(inv), changeCommands(output), readCommands(output), toolCommands(output, parser))
}

// nodeCommands lists the commands that run nodes.
func nodeCommands(inv *invocation) []subcommand {
	return []subcommand{
		{
			name: "serve", summary: "run a node",
			description: "Runs a node with the settings in a file until SIGINT or SIGTERM. It then accepts no new requests and waits for all requests in flight; a second signal terminates it at once.",
			example:     "almondbay serve settings.jsonc",
			command:     &serveCommand{invocation: inv},
		},
		{
			name: "entry", summary: "run a node on an entry VM of the platform",
			description: "Runs a node on an entry VM. It reads its settings from the file named by the environment variable " + platform.SettingsVariable + " and its routes and servers from the platform's store. On SIGTERM it accepts no new connections and waits for all requests in flight; on SIGHUP it reloads its settings.",
			example:     platform.SettingsVariable + "=/etc/almondbay/boot.json almondbay entry",
			command:     &entryCommand{invocation: inv},
		},
		{
			name: "dev", summary: "run a node with an embedded platform and engines",
			description: "Runs a node, an in-memory platform and simulated engines in one process. Once they serve, which takes a few seconds, it prints a curl command that streams an answer.",
			example:     "almondbay dev --listen 127.0.0.1:8080",
			command:     &devCommand{invocation: inv},
		},
	}
}

// changeCommands lists the commands that change an environment.
func changeCommands(output outputOptions) []subcommand {
	return []subcommand{
		{
			name: "apply", summary: "accept a document",
			description: "Makes a document the next revision of an environment, provided that the revision in force is still the one given by --parent, or else the one that was in force when the command started. A document identical to the one in force is not accepted again.",
			example:     "almondbay apply --environment trial --parent 6 document.jsonc",
			command:     &applyCommand{revisionCommand: revisionCommand{outputOptions: output}},
		},
		{
			name: "promote", summary: "accept another environment's document",
			description: "Copies the document of one environment to another, byte for byte, as the next revision there, provided that both environments are still at the revisions given, or else at those that were in force when the command started.",
			example:     "almondbay promote --source trial --source-revision 7 --environment production",
			command:     &promoteCommand{revisionCommand: revisionCommand{outputOptions: output}},
		},
		{
			name: "undo", summary: "accept an earlier document again",
			description: "Makes the document of an earlier revision the next revision.",
			example:     "almondbay undo --environment production --to 5",
			command:     &undoCommand{revisionCommand: revisionCommand{outputOptions: output}},
		},
		{
			name: "drain", summary: "take a VM out of service",
			description: "Stops new work on a VM, or allows it again with --cancel. Requests in flight are completed.",
			example:     "almondbay drain vm-17",
			command:     &drainCommand{outputOptions: output},
		},
	}
}

// readCommands lists the commands that query a node.
func readCommands(output outputOptions) []subcommand {
	return []subcommand{
		{
			name: "diff", summary: "compare a document with the one in force",
			description: "Lists the changes that applying a document, or promoting that of another environment, would make to an environment.",
			example:     "almondbay diff --environment production --source trial",
			command:     &diffCommand{outputOptions: output},
		},
		{
			name: "history", summary: "list the revisions of an environment",
			description: "Lists the latest revisions, the newest first, with author, operation and source.",
			example:     "almondbay history --environment production",
			command:     &historyCommand{outputOptions: output},
		},
		{
			name: "status", summary: "show the state of a node and its view of the fleet",
			description: "Shows the revision in force, the number of replica groups that are missing, the replica groups, the VMs and the nodes that lag behind the revision in force.",
			example:     "almondbay status --server http://127.0.0.1:8081",
			command:     &statusCommand{outputOptions: output},
		},
		{
			name: "report", summary: "report on the service",
			description: "Reports on the service.",
			children: []subcommand{{
				name: "burn", summary: "report on service-level burn",
				description: "Reports for each workspace and model how fast the error budget of its service-level objective is consumed, over fast and slow windows, and the budget that is left.",
				example:     "almondbay report burn --html burn.html",
				command:     &burnCommand{outputOptions: output},
			}},
		},
	}
}

// toolCommands lists the commands that need no node.
func toolCommands(output outputOptions, parser *flags.Parser) []subcommand {
	return []subcommand{
		{
			name: "check", summary: "check settings and documents",
			description: "Checks files without contacting a node and reports every fault with file, line and column. Whether a file holds settings or a document is detected from its fields.",
			example:     "almondbay check settings.jsonc document.jsonc",
			command:     &checkCommand{outputOptions: output},
		},
		{
			name: "completion", summary: "print a completion script for a shell",
			description: "Prints a script that enables completion of commands and options in bash or zsh.",
			example:     "source <(almondbay completion bash)",
			command:     &completionCommand{invocation: output.invocation, parser: parser},
		},
		{
			name: "explain", summary: "explain the outcome of a request from the logs",
			description: "Reads the logs of the nodes and prints the outcome of a request, its cause, and what the nodes knew and decided about the heads that it was sent to.",
			example:     "almondbay explain 66b7cae5464f87a1 logs/*.log",
			command:     &explainCommand{outputOptions: output},
		},
		{
			name: "version", summary: "print the version",
			description: "Prints the version of the program.",
			example:     "almondbay version --json",
			command:     &versionCommand{outputOptions: output},
		},
	}
}
