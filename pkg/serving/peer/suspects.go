package peer

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/attempt"
	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
)

// Paths of messages about requests that are suspected to crash backend servers.
const (
	pathEvidence = "/v1/conviction"
	pathGrant    = "/v1/grant"
	pathRelease  = "/v1/release"
)

// maxEvidenceBytes bounds the encoded crash evidence of one request.
const maxEvidenceBytes = 64 << 10

// Suspects handles crash evidence and the grants of groups to suspects at this
// node.
type Suspects interface {
	// MergeEvidence merges crash evidence received from another node.
	MergeEvidence(e attempt.Evidence)
	// Grant grants a group that this node owns to a suspect. It reports false if
	// another suspect has the group.
	Grant(group string, f attempt.Fingerprint) bool
	// Release ends a grant of a group that this node owns.
	Release(group string, f attempt.Fingerprint)
}

// Announce sends crash evidence to all other nodes. It returns when every send has
// ended, at the latest when ctx is done. Errors are ignored.
func (r *Relay) Announce(ctx context.Context, e attempt.Evidence) {
	body, err := attempt.EncodeEvidence(e)
	if err != nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node {
			continue
		}
		group.Go(func() error {
			// A node that cannot be reached reads the evidence from the platform.
			_ = r.send(ctx, http.MethodPost, vm.Address+pathEvidence, body, nil)
			return nil
		})
	}
	_ = group.Wait()
}

// Grant requests the group for a suspect from the group's owner and reports
// whether it was granted. It also reports true if the owner cannot be reached.
func (r *Relay) Grant(ctx context.Context, group string, f attempt.Fingerprint) bool {
	owner, isSelf := r.owner(group)
	if isSelf {
		return r.config.Suspects().Grant(group, f)
	}
	var reply wireGrantReply
	message := wireGrant{Group: group, Fingerprint: f.String()}
	if err := r.post(ctx, owner.Address, pathGrant, message, &reply); err != nil {
		return true
	}
	return reply.Granted
}

// Release ends a grant at the group's owner. Errors are ignored, since grants
// expire at the owner.
func (r *Relay) Release(ctx context.Context, group string, f attempt.Fingerprint) {
	owner, isSelf := r.owner(group)
	if isSelf {
		r.config.Suspects().Release(group, f)
		return
	}
	_ = r.post(ctx, owner.Address, pathRelease, wireGrant{Group: group, Fingerprint: f.String()}, nil)
}

// owner returns the node that grants a group, and whether it is this node. Nodes
// with the same list of VMs agree on the owner. Without any listed node it is this
// node.
func (r *Relay) owner(group string) (fleet.VM, bool) {
	vms := r.config.Nodes()
	byID := make(map[string]fleet.VM, len(vms))
	ids := make([]string, 0, len(vms))
	for _, vm := range vms {
		byID[vm.ID] = vm
		ids = append(ids, vm.ID)
	}
	owner := relay.Owner(group, ids)
	return byID[owner], owner == "" || owner == r.config.Node
}

func (r *Relay) serveEvidence(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxEvidenceBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	evidence, err := attempt.DecodeEvidence(body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.config.Suspects().MergeEvidence(evidence)
	return c.NoContent(http.StatusNoContent)
}

func (r *Relay) serveGrant(c echo.Context) error {
	group, f, ok := grantOf(c)
	if !ok {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, wireGrantReply{Granted: r.config.Suspects().Grant(group, f)})
}

func (r *Relay) serveRelease(c echo.Context) error {
	group, f, ok := grantOf(c)
	if !ok {
		return c.NoContent(http.StatusBadRequest)
	}
	r.config.Suspects().Release(group, f)
	return c.NoContent(http.StatusNoContent)
}

func grantOf(c echo.Context) (string, attempt.Fingerprint, bool) {
	var wire wireGrant
	if err := decode(c, &wire); err != nil {
		return "", attempt.Fingerprint{}, false
	}
	var f attempt.Fingerprint
	decoded, err := hex.DecodeString(wire.Fingerprint)
	if err != nil || len(decoded) != len(f) {
		return "", attempt.Fingerprint{}, false
	}
	copy(f[:], decoded)
	return wire.Group, f, true
}
