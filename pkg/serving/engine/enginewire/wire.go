// Package enginewire holds the wire types and header names of the engines'
// HTTP protocol and maps them to and from the types of package fleet.
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

// Headers of requests to and answers from engines.
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

// Report is the health answer of a member.
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

// Order is the whole desired state of a member.
type Order struct {
	Term     uint64   `json:"term"`
	Group    string   `json:"group,omitempty"`
	Epoch    uint64   `json:"epoch,omitempty"`
	Members  []string `json:"members,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// StaleTerm is the answer to an order with an old fencing number.
type StaleTerm struct {
	Term uint64 `json:"term"`
}

// FromReport maps a report to its wire type.
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

// ToReport maps a report from its wire type. SeenAt is left zero.
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

// FromOrder maps an order to its wire type.
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

// ToOrder maps an order from its wire type.
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

// SetIdentity writes an identity into the headers of an answer.
func SetIdentity(h http.Header, i fleet.Identity) {
	h.Set(HeaderMember, i.Member)
	h.Set(HeaderBoot, i.Boot)
	h.Set(HeaderGroup, i.Group)
	h.Set(HeaderEpoch, strconv.FormatUint(i.Epoch, 10))
	h.Set(HeaderModel, i.Model)
	h.Set(HeaderVersion, i.Version)
}

// Identity reads an identity from the headers of an answer. A missing or
// malformed epoch reads as zero, which no serving group has.
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
