// Package deployment describes what a node is told of itself and of the
// platform that it runs on.
package deployment

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings is what a node is told at its start.
type Settings struct {
	Node          string
	Address       netip.Addr
	FailureDomain string
	// FailureDomains lists all failure domains in ascending order.
	FailureDomains []string
	// Callers, Readiness and Peers are addresses to listen on; Peers is a UDP
	// and TCP port of the node's address, MetricsPort a TCP port.
	CallerListen    string
	ReadinessListen string
	PeerPort        int
	MetricsPort     int
	// Platform is the address of the store.
	PlatformAddress string
	// FirstStart is set only when the whole system starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	// Cores is the share of a processor that the node may use.
	Cores float64
	// Heartbeat is the interval at which backend servers renew their
	// registration.
	Heartbeat time.Duration
	Bounds    Bounds
}

// Bounds are the promises that the system is held to.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadWindow and LoadOverrun bound the loads from the weight store.
	LoadWindow  time.Duration
	LoadOverrun float64
}

// Check returns every fault of the settings, or nil.
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

// SettingsError names every fault of the settings.
type SettingsError struct {
	Faults []string
}

func (e *SettingsError) Error() string {
	return "settings: " + strings.Join(e.Faults, "; ")
}
