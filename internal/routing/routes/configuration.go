// Package routes holds a configuration and decides where a request may go.
package routes

import (
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's requests.
type Kind string

// Kinds of routes.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "nonIdempotent"
	KindStreaming     Kind = "streaming"
)

// Target is one service that a route sends to.
type Target struct {
	Service string
	// Weight is the share of the requests, relative to the other targets; at
	// least zero.
	Weight float64
}

// Route is one entry of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting; zero for none.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between two events that is in time.
	GapObjective time.Duration
	// MaxAttempts is the number of backend servers that one request may be sent
	// to; at least one.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Targets is not empty.
	Targets []Target
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Model is one model of a service.
type Model struct {
	Name string
	// Size is the number of members of a replica group.
	Size int
	// Share is the model's part of the work at the start.
	Share float64
	// Load is how long the weights take from the weight store.
	Load time.Duration
}

// Engine is what a service states of its engines.
type Engine struct {
	Slots int
	// LoadsPerSecond bounds the loads from the weight store of all engines.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads beyond which each one takes longer.
	LoadsAtOnce int
	Models      []Model
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	MaxBodyBytes int64
}

// Configuration is one version of what is in force.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Workspaces maps an API key to the workspace that holds it.
	Workspaces map[string]string
	// RequireKey is set when requests need a key unless their route is public.
	RequireKey bool
	Limits     Limits

	hosts  map[string][]*Route
	models map[string]bool
}

// Index prepares the configuration for Match. It is called once, before use.
func (c *Configuration) Index() {
	c.models = map[string]bool{}
	for model := range c.Sizes() {
		c.models[model] = true
	}
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
}

// Match returns the route with the longest prefix that begins path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasModel reports whether a service has the model.
func (c *Configuration) HasModel(name string) bool {
	return c.models[name]
}

// Pick returns the target for a point in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := point * total
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Sizes returns the number of members of a replica group by model.
func (c *Configuration) Sizes() map[string]int {
	sizes := map[string]int{}
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			sizes[m.Name] = m.Size
		}
	}
	return sizes
}
