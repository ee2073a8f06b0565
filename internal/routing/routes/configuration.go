// Package routes holds the routing configuration and matches requests to routes
// and services.
package routes

import (
	"strings"
	"time"
)

// Kind classifies a route by whether its requests can be retried or resumed.
type Kind string

// Kinds of routes.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "nonIdempotent"
	KindStreaming     Kind = "streaming"
)

// Target is a service that a route sends requests to.
type Target struct {
	Service string
	// Weight is the fraction of the requests, relative to the weights of the other
	// targets; not negative.
	Weight float64
}

// Route defines how requests to a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the time limit for a request; zero for none.
	Timeout time.Duration
	// Objective is the target for the time to the response, or to the first event
	// of a stream.
	Objective time.Duration
	// GapObjective is the target for the time between two events of a stream.
	GapObjective time.Duration
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int
	// MaxAttempts is the number of backend servers that one request may be sent
	// to; at least one.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Resumable is set if a stream may be resumed at another backend server.
	Resumable bool
	// Targets has at least one entry.
	Targets []Target
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Model is one model of a service.
type Model struct {
	Name string
	// Size is the number of members of a replica group.
	Size int
	// Share is the model's initial share of the demand, before any is measured.
	Share float64
	// Load is the time to load the weights from the weight store.
	Load time.Duration
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// LoadsPerSecond limits the rate at which all engines together start loads
	// from the weight store.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of concurrent loads above which each load slows
	// down.
	LoadsAtOnce int
	Models      []Model
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxBodyBytes int64
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Workspaces maps an API key to the workspace that holds it.
	Workspaces map[string]string
	// RequireKey is set if requests need an API key unless their route is public.
	RequireKey bool
	Limits     Limits

	hosts  map[string][]*Route
	models map[string]bool
}

// Index builds the lookup tables for Match and HasModel. It must be called once,
// before the configuration is used.
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

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none. It ignores a port in host.
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

// HasModel reports whether any service has the model.
func (c *Configuration) HasModel(name string) bool {
	return c.models[name]
}

// Pick returns the service that point, in [0, 1), selects by the weights of the
// targets.
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

// Sizes returns the number of members of a replica group, by model name.
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
