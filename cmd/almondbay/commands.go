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
	// text explains the command in a paragraph.
	text    string
	example string
	command flags.Commander
	// parts are commands below this one.
	parts []subcommand
}

// newParser returns the parser of the whole command line.
func newParser(s *session) *flags.Parser {
	parser := flags.NewNamedParser("almondbay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serve language models whose replicas span several VMs"
	for _, c := range subcommands(s, parser) {
		add(parser.Command, c)
	}
	return parser
}

// add registers a command with its example.
func add(parent *flags.Command, c subcommand) {
	long := c.text
	if c.example != "" {
		long += "\n\nExample:\n  " + c.example
	}
	data := any(c.command)
	if c.command == nil {
		data = &struct{}{}
	}
	registered, err := parent.AddCommand(c.name, c.summary, long, data)
	if err != nil {
		// The commands are fixed; a fault among them shows in every test.
		panic(err)
	}
	for _, part := range c.parts {
		add(registered, part)
	}
}

// subcommands lists all commands.
func subcommands(s *session, parser *flags.Parser) []subcommand {
	reading := reader{session: s}
	return slices.Concat(nodeCommands(s), changeCommands(reading), readCommands(reading), toolCommands(reading, parser))
}

// nodeCommands lists the commands that run nodes.
func nodeCommands(s *session) []subcommand {
	return []subcommand{
		{
			name: "serve", summary: "run a node",
			text:    "Runs a node with the settings in a file until it is told to stop. It then takes no new work and waits for all requests in flight; a second signal cuts them off.",
			example: "almondbay serve settings.jsonc",
			command: &serveCommand{session: s},
		},
		{
			name: "entry", summary: "run a node on an entry VM of the platform",
			text:    "Runs a node on an entry VM. Its settings are in the file that the environment variable " + platform.SettingsVariable + " names; what it serves comes from the platform's store. At SIGTERM it takes no new connections and waits for all requests in flight, at SIGHUP it reads its settings again.",
			example: platform.SettingsVariable + "=/etc/almondbay/boot.json almondbay entry",
			command: &entryCommand{session: s},
		},
		{
			name: "dev", summary: "run a node with an embedded platform and engines",
			text:    "Runs a node, an in-memory platform and engines that stand in for real ones, all in one process. Once they serve, which takes a few seconds, it prints a curl line that streams an answer.",
			example: "almondbay dev --listen 127.0.0.1:8080",
			command: &devCommand{session: s},
		},
	}
}

// changeCommands lists the commands that change an environment.
func changeCommands(reading reader) []subcommand {
	return []subcommand{
		{
			name: "apply", summary: "accept a document",
			text:    "Makes a document the next revision of an environment, on condition that the revision in force is still the one given by --parent, or the one in force when the command starts. The same bytes are never accepted twice in a row.",
			example: "almondbay apply --environment trial --parent 6 document.jsonc",
			command: &applyCommand{changer: changer{reader: reading}},
		},
		{
			name: "promote", summary: "accept another environment's document",
			text:    "Accepts the very bytes of one environment's document in another, on condition that both are still at the revisions seen.",
			example: "almondbay promote --source trial --source-revision 7 --environment production",
			command: &promoteCommand{changer: changer{reader: reading}},
		},
		{
			name: "undo", summary: "accept an earlier document again",
			text:    "Accepts the document of an earlier revision as a new revision.",
			example: "almondbay undo --environment production --to 5",
			command: &undoCommand{changer: changer{reader: reading}},
		},
		{
			name: "drain", summary: "take a VM out of service",
			text:    "Asks that a VM receive no new work, or with --cancel that it may again. Requests in flight end normally.",
			example: "almondbay drain vm-17",
			command: &drainCommand{reader: reading},
		},
	}
}

// readCommands lists the commands that ask a node.
func readCommands(reading reader) []subcommand {
	return []subcommand{
		{
			name: "diff", summary: "compare a document with the one in force",
			text:    "Lists what would change in an environment by applying a document, or by promoting another environment's.",
			example: "almondbay diff --environment production --source trial",
			command: &diffCommand{reader: reading},
		},
		{
			name: "history", summary: "list the revisions of an environment",
			text:    "Lists the latest revisions, the newest first, with author, operation and source.",
			example: "almondbay history --environment production",
			command: &historyCommand{reader: reading},
		},
		{
			name: "status", summary: "show the state of a node and its view of the fleet",
			text:    "Shows the revision in force, how far the fleet is from the document, replica groups, VMs and the nodes that lag.",
			example: "almondbay status --server http://127.0.0.1:8081",
			command: &statusCommand{reader: reading},
		},
		{
			name: "report", summary: "report on the service",
			text: "Reports on the service.",
			parts: []subcommand{{
				name: "burn", summary: "report on service-level burn",
				text:    "Reports for each workspace and model how fast the error budget of its service-level objective is used up, over fast and slow windows, and what is left.",
				example: "almondbay report burn --html burn.html",
				command: &burnCommand{reader: reading},
			}},
		},
	}
}

// toolCommands lists the commands that need no node.
func toolCommands(reading reader, parser *flags.Parser) []subcommand {
	return []subcommand{
		{
			name: "check", summary: "check settings and documents",
			text:    "Checks files without a node and reports every fault with file, line and column. Settings and documents are told apart by their fields.",
			example: "almondbay check settings.jsonc document.jsonc",
			command: &checkCommand{reader: reading},
		},
		{
			name: "completion", summary: "print a completion script for a shell",
			text:    "Prints a script that makes bash or zsh complete commands and options.",
			example: "source <(almondbay completion bash)",
			command: &completionCommand{session: reading.session, parser: parser},
		},
		{
			name: "explain", summary: "tell from logs why a request ended as it did",
			text:    "Reads the logs of the nodes and prints what became of a request, why, and what the nodes believed and decided about the heads that it was offered to.",
			example: "almondbay explain 66b7cae5464f87a1 logs/*.log",
			command: &explainCommand{reader: reading},
		},
		{
			name: "version", summary: "print the version",
			text:    "Prints the version of the program.",
			example: "almondbay version --json",
			command: &versionCommand{reader: reading},
		},
	}
}
