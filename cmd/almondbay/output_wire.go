package main

import (
	"time"

	"almondbay.example/serving/operator/operatorwire"
)

// devOutput is the output of dev --json, from which a script reads the addresses
// and keys of the node.
type devOutput struct {
	Address      string `json:"address"`
	Key          string `json:"key"`
	Model        string `json:"model"`
	AdminAddress string `json:"adminAddress"`
	AdminKey     string `json:"adminKey"`
}

type diffOutput struct {
	Environment string                `json:"environment"`
	Revision    uint64                `json:"revision"`
	Changes     []operatorwire.Change `json:"changes"`
}

type drainOutput struct {
	VM      string `json:"vm"`
	Drained bool   `json:"drained"`
}

type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

type checkOutput struct {
	Files []checkedFile `json:"files"`
}

type checkedFile struct {
	File   string               `json:"file"`
	Kind   string               `json:"kind"`
	Faults []operatorwire.Fault `json:"faults"`
}

type explainOutput struct {
	Findings []findingOutput `json:"findings"`
	// OmittedLines is the number of log lines omitted because the limit was
	// reached.
	OmittedLines int `json:"linesLeft"`
}

type findingOutput struct {
	Cause      string    `json:"cause"`
	RequestEnd logLine   `json:"ended"`
	Related    []logLine `json:"around"`
}

type logLine struct {
	Origin  string            `json:"origin"`
	At      time.Time         `json:"at"`
	Event   int               `json:"event"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}
