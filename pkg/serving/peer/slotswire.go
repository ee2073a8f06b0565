package peer

import (
	"time"

	"almondbay.example/core/schedule"
)

// wireSlotRequest is a request for a slot. FirstTokenMs is the time left until the
// first-token deadline in milliseconds.
type wireSlotRequest struct {
	Node         string   `json:"node"`
	ID           string   `json:"id"`
	Workspace    string   `json:"workspace"`
	Model        string   `json:"model"`
	Kind         string   `json:"kind,omitempty"`
	PromptTokens int      `json:"promptTokens"`
	MaxTokens    int      `json:"maxTokens,omitempty"`
	Prefix       uint64   `json:"prefix,omitempty,string"`
	Avoid        []string `json:"avoid,omitempty"`
	FirstTokenMs int64    `json:"patience"`
}

func wireSlotRequestOf(req schedule.SlotRequest) wireSlotRequest {
	return wireSlotRequest{
		Node:         req.Node,
		ID:           req.ID,
		Workspace:    req.Request.Workspace,
		Model:        req.Request.Model,
		Kind:         req.Request.Kind,
		PromptTokens: req.Request.PromptTokens,
		MaxTokens:    req.Request.MaxTokens,
		Prefix:       req.Request.Prefix,
		Avoid:        req.Request.Avoid,
		FirstTokenMs: req.FirstTokenIn.Milliseconds(),
	}
}

func toSlotRequest(w wireSlotRequest) schedule.SlotRequest {
	return schedule.SlotRequest{
		Node: w.Node,
		ID:   w.ID,
		Request: schedule.Request{
			Workspace:    w.Workspace,
			Model:        w.Model,
			Kind:         w.Kind,
			PromptTokens: w.PromptTokens,
			MaxTokens:    w.MaxTokens,
			Prefix:       w.Prefix,
			Avoid:        w.Avoid,
		},
		FirstTokenIn: time.Duration(w.FirstTokenMs) * time.Millisecond,
	}
}

// wireSlotGrant is the response to a slot request. Reason is set only if the
// request was refused. RetryAfter is in milliseconds.
type wireSlotGrant struct {
	Group      string `json:"group,omitempty"`
	Long       bool   `json:"long,omitempty"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retryAfter,omitempty"`
}

func wireSlotGrantOf(g schedule.Grant) wireSlotGrant {
	w := wireSlotGrant{Group: g.Group, Long: g.Long}
	if g.Refusal != nil {
		w.Reason = string(g.Refusal.Reason)
		w.RetryAfter = g.Refusal.RetryAfter.Milliseconds()
	}
	return w
}

func toSlotGrant(w wireSlotGrant) schedule.Grant {
	g := schedule.Grant{Group: w.Group, Long: w.Long}
	if w.Reason != "" {
		g.Refusal = &schedule.Refusal{
			Reason:     schedule.Reason(w.Reason),
			RetryAfter: time.Duration(w.RetryAfter) * time.Millisecond,
		}
	}
	return g
}

// wireSlotEvents is a report of events of slots that were granted to a node.
type wireSlotEvents struct {
	Node   string          `json:"node"`
	Events []wireSlotEvent `json:"news"`
}

type wireSlotEvent struct {
	ID     string `json:"id"`
	Event  string `json:"event"`
	Tokens int    `json:"tokens,omitempty"`
}

func wireSlotEventsOf(node string, events []schedule.SlotEvent) wireSlotEvents {
	w := wireSlotEvents{Node: node, Events: make([]wireSlotEvent, 0, len(events))}
	for _, n := range events {
		w.Events = append(w.Events, wireSlotEvent{ID: n.ID, Event: string(n.Kind), Tokens: n.Tokens})
	}
	return w
}

func toSlotEvents(list []wireSlotEvent) []schedule.SlotEvent {
	events := make([]schedule.SlotEvent, 0, len(list))
	for _, w := range list {
		events = append(events, schedule.SlotEvent{ID: w.ID, Kind: schedule.EventKind(w.Event), Tokens: w.Tokens})
	}
	return events
}
