// Package enginewire defines the wire types and header names of the engines' HTTP
// protocol and their conversion to and from the types of package fleet.
package enginewire

import (
	"net/http"
	"strconv"

	"almondbay.example/core/fleet"
)

// Paths of the engines' HTTP protocol.
const (
	PathHealth          = "/health"
	PathOrder           = "/order"
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
)

// Headers of requests to engines and of their answers.
const (
	HeaderAttempt    = "Almondbay-Attempt"
	HeaderMember     = "Almondbay-Member"
	HeaderBoot       = "Almondbay-Boot"
	HeaderGroup      = "Almondbay-Group"
	HeaderEpoch      = "Almondbay-Epoch"
	HeaderModel      = "Almondbay-Model"
	HeaderVersion    = "Almondbay-Version"
	HeaderOffset     = "Almondbay-Offset"
	HeaderPriority   = "Almondbay-Priority"
	HeaderTimeout    = "Almondbay-Timeout"
	HeaderRequest    = "X-Request-Id"
	HeaderNotStarted = "Almondbay-Not-Started"
)

// Report is the answer to a health check of a member.
type Report struct {
	Member   string   `json:"member"`
	Boot     string   `json:"boot"`
	Group    string   `json:"group,omitempty"`
	Epoch    uint64   `json:"epoch,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Phase    string   `json:"phase"`
	Term     uint64   `json:"term"`
	Leaving  bool     `json:"leaving,omitempty"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	Tokens   int      `json:"tokens"`
	Adapters []string `json:"adapters,omitempty"`
}

// Order is the complete desired state of a member.
type Order struct {
	Term     uint64   `json:"term"`
	Group    string   `json:"group,omitempty"`
	Epoch    uint64   `json:"epoch,omitempty"`
	Members  []string `json:"members,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// StaleTerm is the answer to an order whose fencing number is too old. Term is
// the fencing number that the member last accepted.
type StaleTerm struct {
	Term uint64 `json:"term"`
}

// FromReport converts a report to its wire type.
func FromReport(r fleet.Report) Report {
	return Report{
		Member:   r.Identity.Member,
		Boot:     r.Identity.Boot,
		Group:    r.Identity.Group,
		Epoch:    r.Identity.Epoch,
		Model:    r.Identity.Model,
		Version:  r.Identity.Version,
		Phase:    string(r.Phase),
		Term:     r.Term,
		Leaving:  r.Leaving,
		Running:  r.Load.Running,
		Waiting:  r.Load.Waiting,
		Slots:    r.Load.Slots,
		Tokens:   r.Load.Tokens,
		Adapters: r.Adapters,
	}
}

// ToReport converts a report from its wire type. SeenAt is zero.
func ToReport(r Report) fleet.Report {
	return fleet.Report{
		Identity: fleet.Identity{
			Member:  r.Member,
			Boot:    r.Boot,
			Group:   r.Group,
			Epoch:   r.Epoch,
			Model:   r.Model,
			Version: r.Version,
		},
		Phase:   fleet.Phase(r.Phase),
		Term:    r.Term,
		Leaving: r.Leaving,
		Load: fleet.Load{
			Running: r.Running,
			Waiting: r.Waiting,
			Slots:   r.Slots,
			Tokens:  r.Tokens,
		},
		Adapters: r.Adapters,
	}
}

// FromOrder converts an order to its wire type.
func FromOrder(o fleet.Order) Order {
	return Order{
		Term:     o.Term,
		Group:    o.Group,
		Epoch:    o.Epoch,
		Members:  o.Members,
		Model:    o.Model,
		Version:  o.Version,
		Adapters: o.Adapters,
	}
}

// ToOrder converts an order from its wire type.
func ToOrder(o Order) fleet.Order {
	return fleet.Order{
		Term:     o.Term,
		Group:    o.Group,
		Epoch:    o.Epoch,
		Members:  o.Members,
		Model:    o.Model,
		Version:  o.Version,
		Adapters: o.Adapters,
	}
}

// SetIdentity sets the headers of an answer that hold the identity.
func SetIdentity(h http.Header, i fleet.Identity) {
	h.Set(HeaderMember, i.Member)
	h.Set(HeaderBoot, i.Boot)
	h.Set(HeaderGroup, i.Group)
	h.Set(HeaderEpoch, strconv.FormatUint(i.Epoch, 10))
	h.Set(HeaderModel, i.Model)
	h.Set(HeaderVersion, i.Version)
}

// Identity returns the identity in the headers of an answer. The epoch is zero,
// which no serving group has, if the header is missing or malformed.
func Identity(h http.Header) fleet.Identity {
	epoch, err := strconv.ParseUint(h.Get(HeaderEpoch), 10, 64)
	if err != nil {
		epoch = 0
	}
	return fleet.Identity{
		Member:  h.Get(HeaderMember),
		Boot:    h.Get(HeaderBoot),
		Group:   h.Get(HeaderGroup),
		Epoch:   epoch,
		Model:   h.Get(HeaderModel),
		Version: h.Get(HeaderVersion),
	}
}
