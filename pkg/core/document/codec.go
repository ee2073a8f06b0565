package document

import (
	"time"

	"almondbay.example/core/jsonc"
)

// Defaults of the optional fields of a document.
const (
	defaultMaxUnavailable = 1
	defaultShare          = 1.0
	defaultServiceTimeout = 30 * time.Second
)

type wireDocument struct {
	Models     []wireModel     `json:"models"`
	Workspaces []wireWorkspace `json:"workspaces"`
	Services   []wireService   `json:"services"`
	Engines    wireEngines     `json:"engines"`
}

type wireModel struct {
	Name           string        `json:"name"`
	Version        string        `json:"version"`
	Groups         int           `json:"groups"`
	Span           int           `json:"span"`
	Spares         int           `json:"spares"`
	MaxUnavailable int           `json:"maxUnavailable"`
	Adapters       []wireAdapter `json:"adapters"`
}

type wireAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

type wireWorkspace struct {
	Name      string        `json:"name"`
	KeyHashes []string      `json:"keyHashes"`
	Share     float64       `json:"share"`
	Models    []string      `json:"models"`
	Objective wireObjective `json:"objective"`
}

type wireObjective struct {
	FirstToken   jsonc.Duration `json:"firstToken"`
	BetweenToken jsonc.Duration `json:"betweenToken"`
	Target       float64        `json:"target"`
}

type wireService struct {
	Name          string         `json:"name"`
	Timeout       jsonc.Duration `json:"timeout"`
	NonIdempotent []wireCall     `json:"nonIdempotent"`
}

type wireCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

type wireEngines struct {
	Fencing []string `json:"fencing"`
}

// Parse decodes and validates a document. It returns all faults, ordered by
// position; the document is valid only if there are none. The name identifies
// the text in the faults, and is usually its file name.
func Parse(name string, body []byte) (Document, jsonc.Faults) {
	source := jsonc.Parse(name, body)
	var wire wireDocument
	source.Decode(&wire)
	d := Document{
		Models:     mapModels(source, wire.Models),
		Workspaces: mapWorkspaces(source, wire.Workspaces),
		Services:   mapServices(source, wire.Services),
		Engines:    Engines(wire.Engines),
	}
	validate(source, d)
	return d, source.Faults()
}

func mapModels(source *jsonc.Source, wire []wireModel) []Model {
	models := make([]Model, 0, len(wire))
	for i, w := range wire {
		m := Model{
			Name:           w.Name,
			Version:        w.Version,
			Groups:         w.Groups,
			Span:           w.Span,
			Spares:         w.Spares,
			MaxUnavailable: w.MaxUnavailable,
		}
		if !source.Has(jsonc.Pointer("models", i, "maxUnavailable")) {
			m.MaxUnavailable = defaultMaxUnavailable
		}
		for _, a := range w.Adapters {
			m.Adapters = append(m.Adapters, Adapter(a))
		}
		models = append(models, m)
	}
	return models
}

func mapWorkspaces(source *jsonc.Source, wire []wireWorkspace) []Workspace {
	workspaces := make([]Workspace, 0, len(wire))
	for i, w := range wire {
		workspace := Workspace{
			Name:      w.Name,
			KeyHashes: w.KeyHashes,
			Share:     w.Share,
			Models:    w.Models,
			Objective: Objective{
				FirstToken:   time.Duration(w.Objective.FirstToken),
				BetweenToken: time.Duration(w.Objective.BetweenToken),
				Target:       w.Objective.Target,
			},
		}
		if !source.Has(jsonc.Pointer("workspaces", i, "share")) {
			workspace.Share = defaultShare
		}
		workspaces = append(workspaces, workspace)
	}
	return workspaces
}

func mapServices(source *jsonc.Source, wire []wireService) []Service {
	services := make([]Service, 0, len(wire))
	for i, w := range wire {
		service := Service{Name: w.Name, Timeout: time.Duration(w.Timeout)}
		if !source.Has(jsonc.Pointer("services", i, "timeout")) {
			service.Timeout = defaultServiceTimeout
		}
		for _, c := range w.NonIdempotent {
			service.NonIdempotent = append(service.NonIdempotent, Call(c))
		}
		services = append(services, service)
	}
	return services
}
