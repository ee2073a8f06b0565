// Package deployment defines the settings of a node: its identity, its addresses
// and the limits that the platform sets.
package deployment

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings holds the settings that a node receives at its start.
type Settings struct {
	Node          string
	Address       netip.Addr
	FailureDomain string
	// FailureDomains lists all failure domains in ascending order.
	FailureDomains []string
	// CallerListen and ReadinessListen are the addresses to listen on for callers
	// and for readiness probes. PeerPort is a UDP and TCP port, MetricsPort a TCP
	// port, both at Address.
	CallerListen    string
	ReadinessListen string
	PeerPort        int
	MetricsPort     int
	// PlatformAddress is the address of the platform's store.
	PlatformAddress string
	// FirstStart is set only on the first start of the whole system.
	FirstStart bool
	// MemoryBytes and Descriptors are the limits of the VM; Descriptors is zero if it is not
	// known.
	MemoryBytes int64
	Descriptors int
	// Cores is the node's CPU quota, in cores.
	Cores float64
	// Heartbeat is the interval at which backend servers renew their
	// registration.
	Heartbeat time.Duration
	Bounds    Bounds
}

// Bounds holds the limits that the system must observe.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all nodes
	// together: in each RetryWindow, RetryRatio times the requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadWindow and LoadOverrun limit the loads from the weight store: in each
	// LoadWindow, LoadOverrun times the loads that the document's rate allows.
	LoadWindow  time.Duration
	LoadOverrun float64
	// GroupStall is how long a replica group that lacks a member stands still before it is
	// broken; zero if that isn't known.
	GroupStall time.Duration
}

// Check returns a SettingsError that lists every fault of the settings, or nil.
func (s Settings) Check() error {
	var faults []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	require(s.Node != "", "node name is empty")
	require(s.Address.IsValid(), "address is not an IP address")
	require(s.FailureDomain != "", "failure domain is empty")
	require(len(s.FailureDomains) > 0, "list of failure domains is empty")
	require(s.CallerListen != "", "callers' listen address is empty")
	require(s.ReadinessListen != "", "readiness listen address is empty")
	require(s.PlatformAddress != "", "platform address is empty")
	require(s.PeerPort > 0 && s.PeerPort < 1<<16, "peer port %d is not in 1..65535", s.PeerPort)
	require(s.MetricsPort > 0 && s.MetricsPort < 1<<16, "metrics port %d is not in 1..65535", s.MetricsPort)
	require(s.Heartbeat > 0, "heartbeat interval %v is not positive", s.Heartbeat)
	require(s.Bounds.RetryWindow > 0, "retry window %v is not positive", s.Bounds.RetryWindow)
	require(s.Bounds.Grace > 0, "grace period %v is not positive", s.Bounds.Grace)
	if len(faults) == 0 {
		return nil
	}
	return &SettingsError{Faults: faults}
}

// SettingsError lists every fault of the settings.
type SettingsError struct {
	Faults []string
}

func (e *SettingsError) Error() string {
	return "settings: " + strings.Join(e.Faults, "; ")
}
