package peer

import (
	"time"

	"almondbay.example/core/schedule"
)

// wireAsk is a request for a slot. Times are in milliseconds.
type wireAsk struct {
	Node         string   `json:"node"`
	ID           string   `json:"id"`
	Workspace    string   `json:"workspace"`
	Model        string   `json:"model"`
	Kind         string   `json:"kind,omitempty"`
	PromptTokens int      `json:"promptTokens"`
	MaxTokens    int      `json:"maxTokens,omitempty"`
	Prefix       uint64   `json:"prefix,omitempty,string"`
	Avoid        []string `json:"avoid,omitempty"`
	Patience     int64    `json:"patience"`
}

func wireAskOf(a schedule.SlotRequest) wireAsk {
	return wireAsk{
		Node:         a.Node,
		ID:           a.ID,
		Workspace:    a.Request.Workspace,
		Model:        a.Request.Model,
		Kind:         a.Request.Kind,
		PromptTokens: a.Request.PromptTokens,
		MaxTokens:    a.Request.MaxTokens,
		Prefix:       a.Request.Prefix,
		Avoid:        a.Request.Avoid,
		Patience:     a.FirstTokenIn.Milliseconds(),
	}
}

func toAsk(w wireAsk) schedule.SlotRequest {
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
		FirstTokenIn: time.Duration(w.Patience) * time.Millisecond,
	}
}

// wireSlotGrant is the answer to an ask; Reason is set when it was refused.
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

// wireTell tells what became of slots that a node was granted.
type wireTell struct {
	Node string     `json:"node"`
	News []wireNews `json:"news"`
}

type wireNews struct {
	ID     string `json:"id"`
	Event  string `json:"event"`
	Tokens int    `json:"tokens,omitempty"`
}

func wireTellOf(node string, news []schedule.SlotEvent) wireTell {
	w := wireTell{Node: node, News: make([]wireNews, 0, len(news))}
	for _, n := range news {
		w.News = append(w.News, wireNews{ID: n.ID, Event: string(n.Kind), Tokens: n.Tokens})
	}
	return w
}

func toNews(list []wireNews) []schedule.SlotEvent {
	news := make([]schedule.SlotEvent, 0, len(list))
	for _, w := range list {
		news = append(news, schedule.SlotEvent{ID: w.ID, Kind: schedule.EventKind(w.Event), Tokens: w.Tokens})
	}
	return news
}
