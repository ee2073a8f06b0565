package main

import (
	"time"

	"almondbay.example/serving/operator/operatorwire"
)

// devLine tells a script how to reach the dev node.
type devLine struct {
	Address      string `json:"address"`
	Key          string `json:"key"`
	Model        string `json:"model"`
	AdminAddress string `json:"adminAddress"`
	AdminKey     string `json:"adminKey"`
}

type diffLine struct {
	Environment string                `json:"environment"`
	Revision    uint64                `json:"revision"`
	Changes     []operatorwire.Change `json:"changes"`
}

type drainLine struct {
	VM      string `json:"vm"`
	Drained bool   `json:"drained"`
}

type versionLine struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

type checkLine struct {
	Files []checkedFile `json:"files"`
}

type checkedFile struct {
	File   string               `json:"file"`
	Kind   string               `json:"kind"`
	Faults []operatorwire.Fault `json:"faults"`
}

type explainLine struct {
	Findings []findingLine `json:"findings"`
	// LinesLeft is the number of lines that were too many to be kept.
	LinesLeft int `json:"linesLeft"`
}

type findingLine struct {
	Cause  string       `json:"cause"`
	Ended  loggedLine   `json:"ended"`
	Around []loggedLine `json:"around"`
}

type loggedLine struct {
	Origin  string            `json:"origin"`
	At      time.Time         `json:"at"`
	Event   int               `json:"event"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}
