// Command almondbay runs a node of the system and is the operator's client.
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

// Exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// session is what a command works with.
type session struct {
	// ctx ends when the process is told to stop.
	ctx context.Context
	out io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// The first signal drains a node; a second one ends it at once.
	context.AfterFunc(ctx, stop)
	code := execute(os.Args[1:], session{ctx: ctx, out: os.Stdout}, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command and returns the exit code of the process.
func execute(args []string, s session, problems io.Writer) int {
	_, err := newParser(&s).ParseArgs(args)
	if err == nil {
		return exitDone
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		printLine(s.out, err.Error())
		return exitDone
	}
	printLine(problems, err.Error())
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
		return exitUnknown
	default:
		return exitRefused
	}
}

// printLine prints for a person. That nobody reads is not an error.
func printLine(w io.Writer, text string) {
	_, _ = io.WriteString(w, text+"\n")
}
