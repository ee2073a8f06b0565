package caller

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/service"
)

// callService handles a call to a plain service.
func (g *Gateway) callService(c echo.Context) error {
	call, refusal := g.readCall(c)
	if refusal != nil {
		return refusal.write(c)
	}
	defer call.release()

	d, _ := g.view.Document()
	i := slices.IndexFunc(d.Services, func(s document.Service) bool { return s.Name == c.Param("service") })
	if i < 0 {
		return notRunProblem(http.StatusNotFound, CodeUnknownService, "the service does not exist").write(c)
	}
	s := d.Services[i]
	if s.Timeout > 0 {
		call.deadline = minTime(call.deadline, g.clock.Now().Add(s.Timeout))
	}
	u := url.URL{Path: servicePath(c.Request().URL), RawQuery: c.Request().URL.RawQuery}
	b := &serviceBackend{
		gateway: g,
		call:    call,
		service: s.Name,
		method:  c.Request().Method,
		path:    u.RequestURI(),
		header:  forwardedHeaders(c.Request().Header),
	}
	call.idempotent = isIdempotent(s, b.method, u.Path, call.options.idempotence)
	call.fingerprint = attempt.NewFingerprint(
		[]byte(call.workspace.Name), []byte(s.Name), []byte(b.method), []byte(b.path), call.body)
	return g.serve(c, call, b)
}

// servicePath returns the path that is sent to the service, decoded and without
// empty, "." and ".." segments, so that the path that the document is matched
// against is the one that the service receives.
func servicePath(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.Path, "/services/"), "/")
	clean := path.Clean("/" + rest)
	if strings.HasSuffix(rest, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}

// isIdempotent reports whether a call may be executed more than once. A call
// that the document lists as non-idempotent may not, whatever its headers say.
// Otherwise the header decides, or the method if there is no header.
func isIdempotent(s document.Service, method, called string, declared idempotence) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "*" || c.Method == method) && strings.HasPrefix(called, c.Path) {
			return false
		}
	}
	if declared != idempotenceUnspecified {
		return declared == idempotenceYes
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// hopByHopHeaders apply to one connection or to the gateway itself.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	echo.HeaderAuthorization, echo.HeaderContentLength,
	HeaderTimeout, HeaderPriority, HeaderIdempotent,
}

// forwardedHeaders returns the headers without those that are not forwarded.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// serviceBackend sends a call to the VMs of a plain service.
type serviceBackend struct {
	gateway *Gateway
	call    *call
	service string
	method  string
	path    string
	header  http.Header
}

var _ backend = (*serviceBackend)(nil)

func (b *serviceBackend) pick(_ context.Context, c constraints) (destination, error) {
	vms := slices.Clone(b.gateway.view.Services(b.service))
	vms = slices.DeleteFunc(vms, func(vm fleet.VM) bool { return slices.Contains(c.avoid, vm.ID) })
	if local := b.local(vms); len(local) > 0 {
		vms = local
	}
	if len(vms) == 0 {
		return destination{}, &UnavailableError{Model: b.service}
	}
	ids := make([]string, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	best, slot := b.gateway.serviceCalls.acquireLeastLoaded(ids)
	vm := vms[best]
	return destination{
		target:  attempt.Target{Group: vm.ID},
		crash:   attempt.Crash{Group: vm.ID, Site: vm.ID},
		address: vm.Address,
		slot:    slot,
	}, nil
}

// local returns the VMs in the failure domain of the node.
func (b *serviceBackend) local(vms []fleet.VM) []fleet.VM {
	var local []fleet.VM
	for _, vm := range vms {
		if vm.FailureDomain == b.gateway.domain {
			local = append(local, vm)
		}
	}
	return local
}

func (b *serviceBackend) send(ctx context.Context, dest destination, s attemptParams) (answer, *failureError) {
	a, err := b.gateway.service.Call(ctx, dest.address, service.Request{
		Method:  b.method,
		Path:    b.path,
		Header:  b.header,
		Body:    b.call.body,
		OnWrite: s.written,
	})
	var refused *service.NotStartedError
	var unreachable *service.UnreachableError
	switch {
	case err == nil:
		return b.toAnswer(a), nil
	case errors.As(err, &refused):
		return answer{}, newFailure(attempt.FailureNotStarted, err)
	case errors.As(err, &unreachable):
		return answer{}, newFailure(attempt.FailureUnreachable, err)
	default:
		return answer{}, newFailure(attempt.FailureBroken, err)
	}
}

func (b *serviceBackend) toAnswer(a service.Answer) answer {
	out := answer{
		status:   a.Status,
		header:   forwardedHeaders(a.Header),
		headOnly: b.method == http.MethodHead,
		body:     a.Body,
	}
	if length := a.Header.Get(echo.HeaderContentLength); out.headOnly && length != "" {
		out.header.Set(echo.HeaderContentLength, length)
	}
	return out
}

// final reports whether the status is the answer of the service. For a call
// that must not be executed again every status is. Otherwise the statuses of an
// unavailable service cause another attempt.
func (b *serviceBackend) final(a answer) bool {
	if !b.call.idempotent {
		return true
	}
	switch a.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	default:
		return true
	}
}

func (b *serviceBackend) crashed(ctx context.Context, dest destination) bool {
	return !b.gateway.service.Alive(ctx, dest.address)
}
