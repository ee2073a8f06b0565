package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("document")

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
	FirstToken   string  `json:"firstToken"`
	BetweenToken string  `json:"betweenToken"`
	Target       float64 `json:"target"`
}

type wireService struct {
	Name          string     `json:"name"`
	Timeout       string     `json:"timeout"`
	NonIdempotent []wireCall `json:"nonIdempotent"`
}

type wireCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

type wireEngines struct {
	Fencing []string `json:"fencing"`
}

// Parse decodes a document written in JSON with comments.
func Parse(body []byte) (Document, error) {
	standard, err := hujson.Standardize(body)
	if err != nil {
		return Document{}, Error.Wrap(err)
	}
	var wire wireDocument
	if err := json.Unmarshal(standard, &wire); err != nil {
		return Document{}, Error.Wrap(err)
	}
	return toDocument(wire)
}

func toDocument(w wireDocument) (Document, error) {
	d := Document{Engines: Engines{Fencing: w.Engines.Fencing}}
	for _, m := range w.Models {
		d.Models = append(d.Models, toModel(m))
	}
	for _, s := range w.Workspaces {
		workspace, err := toWorkspace(s)
		if err != nil {
			return Document{}, err
		}
		d.Workspaces = append(d.Workspaces, workspace)
	}
	for _, s := range w.Services {
		service, err := toService(s)
		if err != nil {
			return Document{}, err
		}
		d.Services = append(d.Services, service)
	}
	return d, nil
}

func toModel(w wireModel) Model {
	m := Model{
		Name:           w.Name,
		Version:        w.Version,
		Groups:         w.Groups,
		Span:           w.Span,
		Spares:         w.Spares,
		MaxUnavailable: max(1, w.MaxUnavailable),
	}
	for _, a := range w.Adapters {
		m.Adapters = append(m.Adapters, Adapter{Name: a.Name, Version: a.Version})
	}
	return m
}

func toWorkspace(w wireWorkspace) (Workspace, error) {
	firstToken, err := duration("firstToken", w.Objective.FirstToken)
	if err != nil {
		return Workspace{}, err
	}
	betweenToken, err := duration("betweenToken", w.Objective.BetweenToken)
	if err != nil {
		return Workspace{}, err
	}
	return Workspace{
		Name:      w.Name,
		KeyHashes: w.KeyHashes,
		Share:     w.Share,
		Models:    w.Models,
		Objective: Objective{
			FirstToken:   firstToken,
			BetweenToken: betweenToken,
			Target:       w.Objective.Target,
		},
	}, nil
}

func toService(w wireService) (Service, error) {
	timeout, err := duration("timeout", w.Timeout)
	if err != nil {
		return Service{}, err
	}
	s := Service{Name: w.Name, Timeout: timeout}
	for _, c := range w.NonIdempotent {
		s.NonIdempotent = append(s.NonIdempotent, Call{Method: c.Method, Path: c.Path})
	}
	return s, nil
}

// duration parses a duration with a unit; an empty one is zero.
func duration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, Error.Wrap(fmt.Errorf("%s: %w", field, err))
	}
	return d, nil
}
