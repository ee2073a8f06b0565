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

// Paths for requests that are suspected to crash backend servers.
const (
	pathConviction = "/v1/conviction"
	pathGrant      = "/v1/grant"
	pathRelease    = "/v1/release"
)

// maxConvictionBytes bounds the evidence against one request.
const maxConvictionBytes = 64 << 10

// Suspects is what this node knows of suspects and grants to them.
type Suspects interface {
	// MergeEvidence merges evidence received from another node.
	MergeEvidence(c attempt.Evidence)
	// Grant grants a group that this node owns to a suspect.
	Grant(group string, f attempt.Fingerprint) bool
	// Release ends a grant of this node.
	Release(group string, f attempt.Fingerprint)
}

// Announce tells evidence to all other nodes. It returns once those that can be
// reached have it, or when ctx is done.
func (r *Relay) Announce(ctx context.Context, c attempt.Evidence) {
	body, err := attempt.EncodeEvidence(c)
	if err != nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxPushes)
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node {
			continue
		}
		group.Go(func() error {
			// A node that cannot be reached learns from the platform.
			_ = r.send(ctx, http.MethodPost, vm.Address+pathConviction, body, nil)
			return nil
		})
	}
	_ = group.Wait()
}

// Grant asks the owner of a group to grant it to a suspect. It reports true
// also when the owner cannot be reached.
func (r *Relay) Grant(ctx context.Context, group string, f attempt.Fingerprint) bool {
	owner, isSelf := r.owner(group)
	if isSelf {
		return r.config.Suspects().Grant(group, f)
	}
	var answer wireGranted
	message := wireGrant{Group: group, Fingerprint: f.String()}
	if err := r.post(ctx, owner.Address, pathGrant, message, &answer); err != nil {
		return true
	}
	return answer.Granted
}

// Release ends a grant. The owner forgets a grant by itself when it cannot be
// reached.
func (r *Relay) Release(ctx context.Context, group string, f attempt.Fingerprint) {
	owner, isSelf := r.owner(group)
	if isSelf {
		r.config.Suspects().Release(group, f)
		return
	}
	_ = r.post(ctx, owner.Address, pathRelease, wireGrant{Group: group, Fingerprint: f.String()}, nil)
}

// owner returns the node that grants a group, on which all nodes agree that see
// the same list.
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

func (r *Relay) serveConviction(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxConvictionBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	conviction, err := attempt.DecodeEvidence(body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.config.Suspects().MergeEvidence(conviction)
	return c.NoContent(http.StatusNoContent)
}

func (r *Relay) serveGrant(c echo.Context) error {
	group, f, ok := grantOf(c)
	if !ok {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, wireGranted{Granted: r.config.Suspects().Grant(group, f)})
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
