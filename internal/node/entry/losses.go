package entry

import (
	"context"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/serving/event"
)

const (
	// lapseHeartbeats is the number of heartbeats after which the registration of a
	// silent server lapses.
	lapseHeartbeats = 3
	// lapseReadTime covers the time until a node reads that a registration lapsed.
	lapseReadTime = 2500 * time.Millisecond
	// checkInterval limits the checks of one head.
	checkInterval = 200 * time.Millisecond
	// maxChecks limits the heads that are checked at a time.
	maxChecks = 16
	// maxLosses is about the number of requests that a node has in flight at peak
	// load, several times over.
	maxLosses = 1024
)

// lapseMin returns the least time from the last heartbeat of a server until its
// registration lapses.
func lapseMin(s deployment.Settings) time.Duration {
	return (lapseHeartbeats - 1) * s.Heartbeat
}

// matchLosses looks for servers that ended while they ran requests of this node.
func (n *Node) matchLosses(ctx context.Context, now time.Time) {
	if n.losses.Pending() == 0 {
		return
	}
	n.recordEnds(n.losses.Match(n.registrations.View(now), now))
	for _, head := range n.losses.Due(now) {
		n.checks.TryGo(func() error {
			n.checkHead(ctx, head)
			return nil
		})
	}
}

// checkHead finds out whether a head that ended a connection ended itself.
func (n *Node) checkHead(ctx context.Context, head registry.Head) {
	startedAt := n.config.Clock.Now()
	result := n.checkServer(ctx, head)
	n.recordEnds(n.losses.RecordCheck(head, startedAt, result))
}

// checkServer asks a head for its start time, to find out whether it has ended.
func (n *Node) checkServer(ctx context.Context, head registry.Head) quarantine.CheckResult {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	state, err := n.config.Orders.QueryState(ctx, registry.Server{ID: head.ID, Address: head.Address, Incarnation: head.Incarnation})
	var noAnswer *url.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.CheckRefused
	case errors.Is(err, control.ErrOtherServer):
		return quarantine.CheckRestarted
	case errors.As(err, &noAnswer):
		return quarantine.CheckNoAnswer
	case err != nil || state.Incarnation == 0:
		// Servers of plain services may give no report.
		return quarantine.CheckUnknown
	case state.Incarnation == head.Incarnation:
		return quarantine.CheckLives
	default:
		return quarantine.CheckRestarted
	}
}

// recordEnds logs and counts servers that ended, and records the evidence against
// the requests that they ran.
func (n *Node) recordEnds(ends []quarantine.End) {
	now := n.config.Clock.Now()
	for _, e := range ends {
		for _, news := range n.suspects.guard.RecordEnd(e, now) {
			n.noteEvidence(news.Fingerprint, sourceOwn, now)
			n.tellAll(news.Fingerprint)
		}
		n.metrics.ServerEnds.WithLabelValues(string(e.Proof)).Inc()
		event.ServerEnded.Log(n.config.Logger, zap.String("server", e.Server.ID), zap.Int64("incarnation", e.Server.Incarnation),
			zap.String("group", e.Crash.Group), zap.Uint64("epoch", e.Crash.Epoch), zap.String("proof", string(e.Proof)),
			zap.Int("requests", countContents(e.Marks)), zap.String("fingerprints", formatFingerprints(e.Marks)), zap.String("parts", formatParts(e.Marks)))
	}
}

// maxShownMarks limits the fingerprints, and the parts of prompts, in one line of the
// log.
const maxShownMarks = 20

// countContents returns the number of marks that are contents.
func countContents(marks []quarantine.Mark) int {
	return len(slices.DeleteFunc(slices.Clone(marks), func(m quarantine.Mark) bool { return m.Part != "" }))
}

// formatFingerprints lists the fingerprints of contents.
func formatFingerprints(marks []quarantine.Mark) string {
	var all []string
	for _, m := range marks {
		if m.Part == "" {
			all = append(all, quarantine.Short(m.Fingerprint))
		}
	}
	return formatShown(all)
}

// formatParts lists the IDs of parts of prompts.
func formatParts(marks []quarantine.Mark) string {
	var all []string
	for _, m := range marks {
		if m.Part != "" {
			all = append(all, m.Part)
		}
	}
	return formatShown(all)
}

// formatShown lists the first of some texts and the number of those left out.
func formatShown(all []string) string {
	shown := slices.Clone(all[:min(len(all), maxShownMarks)])
	if rest := len(all) - len(shown); rest > 0 {
		shown = append(shown, "and "+strconv.Itoa(rest)+" more")
	}
	return strings.Join(shown, ",")
}
