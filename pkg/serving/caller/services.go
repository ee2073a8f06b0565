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

// callService runs one call of a plain service.
func (g *Gateway) callService(c echo.Context) error {
	call, refusal := g.read(c)
	if refusal != nil {
		return refusal.write(c)
	}
	defer call.release()

	d, _ := g.view.Document()
	i := slices.IndexFunc(d.Services, func(s document.Service) bool { return s.Name == c.Param("service") })
	if i < 0 {
		return notRun(http.StatusNotFound, CodeUnknownService, "the service is not served").write(c)
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
		header:  forwarded(c.Request().Header),
	}
	call.idempotent = repeatable(s, b.method, u.Path, call.options.idempotence)
	call.print = attempt.NewFingerprint(
		[]byte(call.workspace.Name), []byte(s.Name), []byte(b.method), []byte(b.path), call.body)
	return g.serve(c, call, b)
}

// servicePath returns the path of a call as the service sees it: decoded and
// without empty, "." and ".." segments, as the document is matched against it.
func servicePath(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.Path, "/services/"), "/")
	clean := path.Clean("/" + rest)
	if strings.HasSuffix(rest, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}

// repeatable reports whether a call may run more than once. A call that the
// document lists may not, whatever its headers say. Else the header decides,
// and without one the method does.
func repeatable(s document.Service, method, called string, said idempotence) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "*" || c.Method == method) && strings.HasPrefix(called, c.Path) {
			return false
		}
	}
	if said != idempotenceUnsaid {
		return said == idempotenceYes
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// hopHeaders concern one connection, or the gateway itself.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	echo.HeaderAuthorization, echo.HeaderContentLength,
	HeaderTimeout, HeaderPriority, HeaderIdempotent,
}

// forwarded returns the headers that are passed on.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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

func (b *serviceBackend) pick(_ context.Context, w wish) (place, error) {
	vms := slices.Clone(b.gateway.view.Services(b.service))
	vms = slices.DeleteFunc(vms, func(vm fleet.VM) bool { return slices.Contains(w.avoid, vm.ID) })
	if near := b.near(vms); len(near) > 0 {
		vms = near
	}
	if len(vms) == 0 {
		return place{}, &UnavailableError{Model: b.service}
	}
	ids := make([]string, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	best, slot := b.gateway.calls.takeFewest(ids)
	vm := vms[best]
	return place{
		target:  attempt.Target{Group: vm.ID},
		crash:   attempt.Crash{Group: vm.ID, Site: vm.ID},
		address: vm.Address,
		slot:    slot,
	}, nil
}

// near returns the VMs in the node's failure domain.
func (b *serviceBackend) near(vms []fleet.VM) []fleet.VM {
	var near []fleet.VM
	for _, vm := range vms {
		if vm.FailureDomain == b.gateway.domain {
			near = append(near, vm)
		}
	}
	return near
}

func (b *serviceBackend) send(ctx context.Context, p place, s sending) (answer, *failureError) {
	a, err := b.gateway.service.Call(ctx, p.address, service.Request{
		Method:  b.method,
		Path:    b.path,
		Header:  b.header,
		Body:    b.call.body,
		NoRetry: !b.call.idempotent,
		OnWrite: s.written,
	})
	var refused *service.NotStartedError
	var unreachable *service.UnreachableError
	switch {
	case err == nil:
		return answer{status: a.Status, header: forwarded(a.Header), body: a.Body}, nil
	case errors.As(err, &refused):
		return answer{}, fail(attempt.FailureNotStarted, err)
	case errors.As(err, &unreachable):
		return answer{}, fail(attempt.FailureUnreachable, err)
	default:
		return answer{}, fail(attempt.FailureBroken, err)
	}
}

// final reports whether the status is the service's own answer. A call that
// must not run again has no other; for the rest, the statuses of a service
// that is not there lead to another attempt.
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

func (b *serviceBackend) crashed(ctx context.Context, p place) bool {
	return !b.gateway.service.Alive(ctx, p.address)
}
