package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"almondbay.example/internal/node/explain"
)

type explainCommand struct {
	outputOptions

	Args struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"ID of the request"`
		Logs    []string `positional-arg-name:"LOG" description:"logs of the nodes, all of them at best; standard input without any"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	logs := explain.New(c.Args.Request)
	if len(c.Args.Logs) == 0 {
		if err := logs.Read("stdin", os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range c.Args.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	findings := logs.Findings()
	if len(findings) == 0 {
		return fmt.Errorf("no log line about request %q: a node logs at most 60 answered requests a second", c.Args.Request)
	}
	lines := make([]findingOutput, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, toFindingOutput(f))
	}
	return c.show(explainOutput{Findings: lines, OmittedLines: logs.OmittedLines}, func() string { return findingsText(findings) })
}

func readLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()

	return logs.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
}

// findingsText formats findings, with the times of related lines relative to the
// end of the request.
func findingsText(findings []explain.Finding) string {
	var b strings.Builder
	for _, f := range findings {
		fmt.Fprintf(&b, "%s at %s: %s, status %s\n", f.RequestEnd.Origin, f.RequestEnd.At.UTC().Format(time.RFC3339Nano),
			f.RequestEnd.Get("outcome"), f.RequestEnd.Get("status"))
		fmt.Fprintf(&b, "  cause: %s\n", f.Cause)
		for _, field := range f.RequestEnd.Fields {
			if field.Value != "" {
				fmt.Fprintf(&b, "  %s: %s\n", field.Name, field.Value)
			}
		}
		for _, line := range f.Related {
			fmt.Fprintf(&b, "  %+8.3fs %s %s (%d)%s\n", line.At.Sub(f.RequestEnd.At).Seconds(), line.Origin, line.Message, line.Event, fieldsText(line))
		}
	}
	return b.String()
}

func fieldsText(line explain.Line) string {
	var b strings.Builder
	for _, field := range line.Fields {
		fmt.Fprintf(&b, " %s=%s", field.Name, field.Value)
	}
	return b.String()
}

func toFindingOutput(f explain.Finding) findingOutput {
	related := make([]logLine, 0, len(f.Related))
	for _, line := range f.Related {
		related = append(related, toLogLine(line))
	}
	return findingOutput{Cause: f.Cause, RequestEnd: toLogLine(f.RequestEnd), Related: related}
}

func toLogLine(line explain.Line) logLine {
	fields := make(map[string]string, len(line.Fields))
	for _, field := range line.Fields {
		fields[field.Name] = field.Value
	}
	return logLine{Origin: line.Origin, At: line.At.UTC(), Event: line.Event, Message: line.Message, Fields: fields}
}
