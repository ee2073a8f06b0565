package relay

import (
	"context"
	"errors"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
)

// ProbeReply is what one node found out about a server by querying its state. At most one
// of Reached, Refused, Unclear and Witnessed is set; none is if the node may be cut off from
// the server.
type ProbeReply struct {
	// Reached is set if the server replied, with State.
	Reached bool
	State   control.State
	// Refused is set if its address refused the connection, or another server replied.
	Refused bool
	// Unclear is set if something at its address reacted in another way, for example by
	// resetting the connection. The server may live.
	Unclear bool
	// Witnessed is set if there was no reaction although this node reached another server
	// of the same failure domain then: it could have reached this one, too.
	Witnessed bool
}

const (
	// ProbeTimeout limits a state query to a backend server. It allows for the loss
	// of two packets within a region.
	ProbeTimeout = 450 * time.Millisecond
	// referenceTimeout limits the query to a reference. Together with ProbeTimeout and the
	// call to a peer it stays below the controller's timeout of a probe.
	referenceTimeout = 350 * time.Millisecond
)

// Prober queries the state of backend servers that may have stopped.
type Prober struct {
	QueryState func(ctx context.Context, s registry.Server) (control.State, error)
	// References returns other servers of a server's failure domain. Reaching one shows
	// that this node isn't cut off from the failure domain.
	References func(s registry.Server) []registry.Server
}

// Probe queries the state of a server. The error of a query says too little for a caller
// to act on it, so it becomes part of the reply.
func (p Prober) Probe(ctx context.Context, s registry.Server) ProbeReply {
	reply, silent := p.query(ctx, s, ProbeTimeout)
	if silent {
		reply.Witnessed = p.reachesReference(ctx, s)
	}
	return reply
}

// reachesReference reports whether any reference of a server reacts to a query.
func (p Prober) reachesReference(ctx context.Context, s registry.Server) bool {
	var reached atomic.Bool
	var group errgroup.Group
	for _, r := range p.References(s) {
		group.Go(func() error {
			if _, silent := p.query(ctx, r, referenceTimeout); !silent {
				reached.Store(true)
			}
			return nil
		})
	}
	// The queries return no errors.
	_ = group.Wait()
	return reached.Load()
}

// query queries the state of one server and reports whether there was no reaction.
func (p Prober) query(ctx context.Context, s registry.Server, timeout time.Duration) (reply ProbeReply, silent bool) {
	queryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state, err := p.QueryState(queryCtx, s)
	var noAnswer *url.Error
	switch {
	case err == nil:
		return ProbeReply{Reached: true, State: state}, false
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, control.ErrOtherServer):
		return ProbeReply{Refused: true}, false
	case errors.As(err, &noAnswer) && (noAnswer.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)):
		return ProbeReply{}, true
	default:
		return ProbeReply{Unclear: true}, false
	}
}
