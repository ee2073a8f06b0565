// Command almondbay runs a node and is the command-line client of the admin API.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes. exitUnknownOutcome means that a change may or may not have taken
// effect.
const (
	exitSuccess        = 0
	exitFailure        = 1
	exitUsage          = 2
	exitUnknownOutcome = 3
)

// invocation holds the context and the standard output of one command.
type invocation struct {
	// ctx is canceled at SIGINT or SIGTERM.
	ctx context.Context
	out io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// Restores the default signal handling after the first signal, which drains
	// a node, so that a second one terminates the process.
	context.AfterFunc(ctx, stop)
	code := execute(os.Args[1:], invocation{ctx: ctx, out: os.Stdout}, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command and returns the exit code of the process. Errors are
// printed to stderr.
func execute(args []string, inv invocation, stderr io.Writer) int {
	_, err := newParser(&inv).ParseArgs(args)
	if err == nil {
		return exitSuccess
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		printLine(inv.out, err.Error())
		return exitSuccess
	}
	printLine(stderr, err.Error())
	return exitCode(err)
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	var flagsError *flags.Error
	var unknown *unknownOutcomeError
	switch {
	case errors.As(err, &flagsError):
		return exitUsage
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	default:
		return exitFailure
	}
}

// printLine prints one line. Write errors are ignored: the reader may have closed
// its end of the pipe.
func printLine(w io.Writer, text string) {
	_, _ = io.WriteString(w, text+"\n")
}
