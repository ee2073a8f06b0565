package main

import (
	"fmt"
	"os"
	"strings"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/settings"
)

// File kinds, as given by --kind and printed by --json.
const (
	kindSettings = "settings"
	kindDocument = "document"
)

type checkCommand struct {
	outputOptions

	Kind string `long:"kind" choice:"settings" choice:"document" description:"What the files hold, when it does not show"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	result := checkOutput{Files: []checkedFile{}}
	var all jsonc.Faults
	for _, file := range c.Args.Files {
		body, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		kind, faults := c.checkFile(file, body)
		all = append(all, faults...)
		result.Files = append(result.Files, checkedFile{File: file, Kind: kind, Faults: operatorwire.FromFaults(faults)})
	}
	if len(all) > 0 && !c.JSON {
		return all
	}
	err := c.show(result, func() string { return fmt.Sprintf("%s: no faults", strings.Join(c.Args.Files, ", ")) })
	if err != nil {
		return err
	}
	return all.Err()
}

// checkFile parses a file and returns its kind and its faults.
func (c *checkCommand) checkFile(file string, body []byte) (kind string, faults jsonc.Faults) {
	kind = c.Kind
	if kind == "" {
		kind = detectKind(jsonc.Parse(file, body))
	}
	if kind == kindSettings {
		_, faults = settings.Parse(file, body, os.LookupEnv)
		return kind, faults
	}
	_, faults = document.Parse(file, body)
	return kind, faults
}

// detectKind returns kindSettings for a file that has a field which only settings
// have, and kindDocument otherwise.
func detectKind(source *jsonc.Source) string {
	for _, pointer := range []string{"/node", "/failureDomain", "/platform", "/caller", "/operator", "/peer"} {
		if source.Has(pointer) {
			return kindSettings
		}
	}
	return kindDocument
}
