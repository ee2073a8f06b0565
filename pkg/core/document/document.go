// Package document defines the environment document: the models and services
// that an operator wants to run, their replica groups, and the workspaces that
// may call them.
//
// A document does not name its environment, so that the same bytes can be
// accepted in a trial environment and later promoted to production.
package document

import "time"

// Document is an accepted or proposed environment document.
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
	// Groups is the number of replica groups; zero removes the model from
	// service.
	Groups int
	// Span is the number of VMs in each replica group; at least one.
	Span int
	// Spares is the number of unassigned VMs to keep for each fabric domain
	// that contains a group of this model.
	Spares int
	// MaxUnavailable is the maximum number of groups that a rollout takes out of
	// service at the same time; at least one.
	MaxUnavailable int
	Adapters       []Adapter
}

// Adapter is a low-rank adapter (LoRA) of a model. Callers select it by its own
// name in place of the model's.
type Adapter struct {
	Name    string
	Version string
}

// Workspace is one paying user of the environment, with its own API keys, share
// and objective.
type Workspace struct {
	Name string
	// KeyHashes are the hex SHA-256 digests of the workspace's bearer keys.
	KeyHashes []string
	// Share is the weight of the workspace in fair queueing; above zero.
	Share float64
	// Models lists the models and adapters that the workspace may call; empty
	// allows all.
	Models []string
	// Objective is the zero value if the workspace has none.
	Objective Objective
}

// Objective is a service-level objective of a workspace.
type Objective struct {
	// FirstToken bounds the time to the first token.
	FirstToken time.Duration
	// BetweenToken bounds the time between two tokens.
	BetweenToken time.Duration
	// Target is the fraction of requests that meet the objective, in (0, 1).
	Target float64
}

// Service is a plain service: one that is not a model engine.
type Service struct {
	Name string
	// Timeout bounds one call.
	Timeout time.Duration
	// NonIdempotent lists the calls that must not be executed twice.
	NonIdempotent []Call
}

// Call selects calls of a plain service by method and path prefix.
type Call struct {
	// Method is an HTTP method in upper case, or "*" for all.
	Method string
	// Path is a path prefix that starts with a slash.
	Path string
}

// Engines describes the model engines of the environment.
type Engines struct {
	// Fencing lists the fabric domains whose members reject an order with an
	// outdated fencing number. Members in other domains accept any order.
	Fencing []string
}
