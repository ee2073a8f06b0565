// Package document holds the environment document: what an operator wants to
// run, in which replica groups, for which workspaces.
//
// A document names no environment. The same bytes are accepted for a trial
// environment and later promoted to production.
package document

import "time"

// Document is one accepted or proposed environment document.
type Document struct {
	Models     []Model
	Workspaces []Workspace
	Services   []Service
	Engines    Engines
}

// Model is a model that is served by replica groups.
type Model struct {
	// Name is unique among the models and adapters of a document.
	Name string
	// Version is the version of the weights to serve.
	Version string
	// Groups is the number of replica groups; zero retires the model.
	Groups int
	// Span is the number of VMs in each replica group; at least one.
	Span int
	// Spares is the number of unassigned VMs to keep for each fabric domain
	// that holds a group of this model.
	Spares int
	// MaxUnavailable bounds the groups that a roll-out takes out of service at
	// the same time; at least one.
	MaxUnavailable int
	Adapters       []Adapter
}

// Adapter is a low-rank adapter of a model, called by its own name.
type Adapter struct {
	Name    string
	Version string
}

// Workspace is one paying user of the environment.
type Workspace struct {
	Name string
	// KeyHashes are the hex SHA-256 digests of the bearer keys.
	KeyHashes []string
	// Share is the weight of the workspace in fair queueing; above zero.
	Share float64
	// Models lists what the workspace may call; empty allows all.
	Models    []string
	Objective Objective
}

// Objective is a service-level objective of a workspace.
type Objective struct {
	FirstToken   time.Duration
	BetweenToken time.Duration
	// Target is the fraction of requests that meet the objective, in (0, 1).
	Target float64
}

// Service is a plain service beside the model engines.
type Service struct {
	Name string
	// Timeout bounds one call.
	Timeout time.Duration
	// NonIdempotent lists the calls that must not be repeated.
	NonIdempotent []Call
}

// Call selects calls of a plain service.
type Call struct {
	// Method is an HTTP method in upper case, or "*" for all.
	Method string
	// Path is a path prefix that starts with a slash.
	Path string
}

// Engines describes the model engines of the environment.
type Engines struct {
	// Fencing lists the fabric domains whose members refuse an order with an
	// old fencing number. Members elsewhere accept any order.
	Fencing []string
}
