package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"almondbay.example/internal/routing/quarantine"
)

// Knowledge is all that a node knows of requests that crash servers.
type Knowledge struct {
	// Evidence also holds what answers have refuted, with these answers.
	Evidence []quarantine.Evidence
	// Uptime is the time since the node has started: one that has just started may know
	// little.
	Uptime time.Duration
}

// maxKnowledgeBytes bounds the body of a response with the knowledge of a node.
const maxKnowledgeBytes = 4 << 20

// knowledgeWire is the response to a request for the knowledge of a node.
type knowledgeWire struct {
	Evidence []json.RawMessage `json:"evidence"`
	UptimeMs int64             `json:"uptimeMs"`
}

// Knowledge asks a node for all that it knows of requests that crash servers.
func (c *Client) Knowledge(ctx context.Context, address string) (Knowledge, error) {
	var w knowledgeWire
	status, err := c.call(ctx, call{method: http.MethodGet, address: address, path: pathEvidence, maxBytes: maxKnowledgeBytes, last: true}, &w)
	if err != nil {
		return Knowledge{}, err
	}
	if status != http.StatusOK {
		return Knowledge{}, Error.New("read evidence from node %s: status %d", address, status)
	}
	k := Knowledge{Uptime: time.Duration(w.UptimeMs) * time.Millisecond}
	for _, value := range w.Evidence {
		e, err := quarantine.DecodeEvidence(value)
		if err != nil {
			return Knowledge{}, Error.New("evidence from node %s: %w", address, err)
		}
		k.Evidence = append(k.Evidence, e)
	}
	return k, nil
}

// evidence returns all that this node knows of requests that crash servers.
func (s *Server) evidence(c echo.Context) error {
	k := s.config.Knowledge()
	w := knowledgeWire{Evidence: make([]json.RawMessage, 0, len(k.Evidence)), UptimeMs: k.Uptime.Milliseconds()}
	for _, e := range k.Evidence {
		value, err := quarantine.EncodeEvidence(e)
		if err != nil {
			return Error.Wrap(err)
		}
		w.Evidence = append(w.Evidence, value)
	}
	return c.JSON(http.StatusOK, w)
}
