package event

import "go.uber.org/zap/zapcore"

const noAction = "None."

// Events of the lifecycle of a node.
var (
	NodeStarted = Definition{
		Number: 101, Level: zapcore.InfoLevel, Message: "node started",
		Fields:  []string{"node", "failureDomain", "environment", "version"},
		Meaning: "The process has read its settings and is about to open its listeners.",
		Action:  noAction,
	}
	NodeListening = Definition{
		Number: 102, Level: zapcore.InfoLevel, Message: "listening",
		Fields:  []string{"listener", "address", "tls"},
		Meaning: "The node accepts connections on the address.",
		Action:  noAction,
	}
	NodeDraining = Definition{
		Number: 103, Level: zapcore.InfoLevel, Message: "draining",
		Meaning: "The node received a stop signal; it reports that it is not ready and waits for the requests in flight to end.",
		Action:  "None. A second signal aborts the remaining requests.",
	}
	NodeStopped = Definition{
		Number: 104, Level: zapcore.InfoLevel, Message: "stopped",
		Meaning: "All requests have ended and the process is about to exit.",
		Action:  noAction,
	}
	NodeFailed = Definition{
		Number: 106, Level: zapcore.ErrorLevel, Message: "node failed",
		Fields:  []string{"error"},
		Meaning: "A component of the node returned an error, and the process exits.",
		Action:  "Read the error; the platform replaces the VM.",
	}
	StepFailed = Definition{
		Number: 107, Level: zapcore.WarnLevel, Message: "step failed",
		Fields:  []string{"error", "failures"},
		Meaning: "A periodic task of the node failed; it is retried at its next interval. Of consecutive failures, those with numbers 1, 2, 4, 8 and so on are logged.",
		Action:  "None, unless it persists; then read the error.",
	}
)

// Events of certificates.
var (
	CertificateLoaded = Definition{
		Number: 201, Level: zapcore.InfoLevel, Message: "certificate loaded",
		Fields:  []string{"file", "notAfter"},
		Meaning: "The certificate in the file was loaded; new connections use it.",
		Action:  noAction,
	}
	CertificateRefused = Definition{
		Number: 202, Level: zapcore.ErrorLevel, Message: "certificate refused",
		Fields:  []string{"file", "error"},
		Meaning: "The certificate files are missing or invalid; the node keeps using the certificate that it loaded before.",
		Action:  "Correct the files; they are read again within seconds.",
	}
)

// Events of the platform.
var (
	PlatformUnreachable = Definition{
		Number: 301, Level: zapcore.WarnLevel, Message: "platform unreachable",
		Fields:  []string{"error"},
		Meaning: "The table service does not answer. VMs are not reassigned, and existing replica groups keep serving.",
		Action:  "See the section on platform outages in OPERATIONS.md.",
	}
	PlatformReachable = Definition{
		Number: 302, Level: zapcore.InfoLevel, Message: "platform reachable again",
		Meaning: "The table service answers again.",
		Action:  noAction,
	}
	StoreRestored = Definition{
		Number: 303, Level: zapcore.WarnLevel, Message: "store came back from an older copy",
		Fields:  []string{"table", "era", "previousEra", "version", "previousVersion", "rows"},
		Meaning: "The platform's store lost what was written for some seconds and began a new era, in which it gives out versions again. The node has read the table anew; what it knew is in force until newer rows are there. version and previousVersion are those of the table within the eras.",
		Action:  "None, if it was a drill; else ask the platform's operators.",
	}
)

// Events of configuration.
var (
	RevisionInForce = Definition{
		Number: 401, Level: zapcore.InfoLevel, Message: "revision in force",
		Fields:  []string{"revision", "hash", "origin"},
		Meaning: "The node now uses this revision of the document.",
		Action:  noAction,
	}
	RevisionDivergence = Definition{
		Number: 402, Level: zapcore.ErrorLevel, Message: "two documents under one revision",
		Fields:  []string{"error"},
		Meaning: "The platform or a peer has a different document under the revision that is in force on this node; the node keeps its own.",
		Action:  "Apply the intended document again, which creates a new revision.",
	}
	DocumentUnreadable = Definition{
		Number: 403, Level: zapcore.ErrorLevel, Message: "document unreadable",
		Fields:  []string{"revision", "error"},
		Meaning: "The document of a revision cannot be fetched or decoded; the node keeps using its current document.",
		Action:  "Check the object store, then apply the document again.",
	}
	DocumentAccepted = Definition{
		Number: 404, Level: zapcore.InfoLevel, Message: "document accepted",
		Fields:  []string{"environment", "revision", "kind", "author", "operation"},
		Meaning: "A command of an operator, received by this node, created a new revision.",
		Action:  noAction,
	}
	DocumentRefused = Definition{
		Number: 405, Level: zapcore.WarnLevel, Message: "document refused",
		Fields:  []string{"environment", "author", "operation", "error"},
		Meaning: "A command of an operator was refused and had no effect.",
		Action:  noAction,
	}
	DocumentOutcomeUnknown = Definition{
		Number: 406, Level: zapcore.WarnLevel, Message: "outcome of a command not known",
		Fields:  []string{"environment", "author", "operation", "error"},
		Meaning: "The answer to the write of a new revision was lost, and reading the row did not show whether it took effect.",
		Action:  "Repeat the command with the same operation ID, or check the history of the environment.",
	}
)

// Events of leases and replica groups.
var (
	LeaseAcquired = Definition{
		Number: 501, Level: zapcore.InfoLevel, Message: "lease taken",
		Fields:  []string{"fabricDomain", "term"},
		Meaning: "The node now controls the fabric domain; term is the fencing number of its orders.",
		Action:  noAction,
	}
	LeaseEnded = Definition{
		Number: 502, Level: zapcore.InfoLevel, Message: "lease ended",
		Fields:  []string{"fabricDomain"},
		Meaning: "The node released the lease or could not renew it in time; another node acquires it.",
		Action:  "None, unless leases end often; then check the platform.",
	}
	LeasesNotReleased = Definition{
		Number: 503, Level: zapcore.WarnLevel, Message: "leases not handed on",
		Fields:  []string{"error"},
		Meaning: "The node is stopping and could not release its leases; other nodes acquire them after they expire.",
		Action:  noAction,
	}
	GroupChanged = Definition{
		Number: 504, Level: zapcore.InfoLevel, Message: "replica group changed",
		Fields:  []string{"step", "group", "fabricDomain", "epoch", "state", "version", "members", "term"},
		Meaning: "A transaction on the row of the group was committed; GROUPS.md lists the steps.",
		Action:  "None, unless step is fail; then check the weights of the version, and undo the document if they are invalid.",
	}
	VMChanged = Definition{
		Number: 505, Level: zapcore.InfoLevel, Message: "VM changed",
		Fields:  []string{"step", "vm", "fabricDomain", "term"},
		Meaning: "The state of a VM changed: it reported that it is free, or it was marked as gone or removed because the platform no longer lists it.",
		Action:  noAction,
	}
	OrderRefused = Definition{
		Number: 506, Level: zapcore.WarnLevel, Message: "order refused",
		Fields:  []string{"vm", "term", "accepted"},
		Meaning: "The VM rejected an order because it has accepted a higher fencing number: another node controls its fabric domain.",
		Action:  noAction,
	}
)

// Events of operators and peers.
var (
	KeyRefused = Definition{
		Number: 701, Level: zapcore.WarnLevel, Message: "request without a valid key",
		Fields:  []string{"listener", "remote", "path"},
		Meaning: "The admin or peer listener rejected a request that did not carry a valid key.",
		Action:  "If it persists, identify the sender.",
	}
	DrainRequested = Definition{
		Number: 702, Level: zapcore.InfoLevel, Message: "drain requested",
		Fields:  []string{"vm", "author"},
		Meaning: "An operator requested that a VM receive no new work.",
		Action:  noAction,
	}
)

// Events of scheduling.
var (
	OwnerUnreachable = Definition{
		Number: 801, Level: zapcore.WarnLevel, Message: "owner of slots unreachable",
		Fields:  []string{"owner", "error"},
		Meaning: "The node that schedules a model for the failure domain could not be reached; this node schedules requests for the model itself for a few seconds.",
		Action:  "None, unless it persists; then check the owner and the network between the nodes.",
	}
)

// Events of requests on an entry VM.
var (
	RequestEnded = Definition{
		Number: 901, Level: zapcore.InfoLevel, Message: "request ended",
		Fields:  []string{"request", "route", "service", "model", "fingerprint", "parts", "trial", "version", "outcome", "status", "cutOff", "cause", "tries", "retryAfter", "firstByte", "load", "maxGap", "duration", "events", "memory", "registryAge"},
		Meaning: "A request of a caller ended. The field tries lists each head that the request was sent to, with the number of requests that the node counted in flight there, the duration, the connection to it with the number of requests and of rejections that it had carried before (and passedOver, the number of kept connections that were closed before: by the head, or because of what had come on them, as a rejection of the same ID), the status of its response, the number of its events that were sent to the caller, and the reason when the head gave no answer; status is the one that the caller received, and cutOff is set if the connection was closed in place of the end of the response; load is the number of requests in flight at the usable heads at the last choice of one, as a fraction of their slots: requests are rejected by it; fingerprint identifies the content of a request that lost a try, which it shares with repeats of it under other IDs, and parts lists the parts of its prompt that other requests may share; trial is set if the request was sent although a part of its prompt is blamed, to find out whether an answer takes that back; memory is the number of bytes in use in the account of memory if the request was refused for want of it; version is the version of the configuration in force, and registryAge the age of the node's copy of the registrations of backend servers.",
		Action:  "To find the cause from the ID of a request, see OPERATIONS.md.",
	}
	RequestsCounted = Definition{
		Number: 902, Level: zapcore.InfoLevel, Message: "requests counted",
		Fields:  []string{"outcome", "count", "dropped"},
		Meaning: "The number of requests by outcome whose lines were omitted to limit the size of the log, and the number of lines dropped because the log output was full.",
		Action:  noAction,
	}
	ConfigurationInForce = Definition{
		Number: 903, Level: zapcore.InfoLevel, Message: "configuration in force",
		Fields:  []string{"version", "previous", "routes", "keys"},
		Meaning: "The node now uses a newer configuration.",
		Action:  noAction,
	}
	ConfigurationUnreadable = Definition{
		Number: 904, Level: zapcore.ErrorLevel, Message: "configuration unreadable",
		Fields:  []string{"error"},
		Meaning: "The newest configuration cannot be decoded; the node keeps using its current one.",
		Action:  "Write the configuration again.",
	}
	SettingsReloaded = Definition{
		Number: 905, Level: zapcore.InfoLevel, Message: "settings reloaded",
		Fields:  []string{"error"},
		Meaning: "The settings file was read again. When the line has an error, the node keeps its current settings.",
		Action:  "When the line has an error, correct the file.",
	}
	ReadinessChanged = Definition{
		Number: 906, Level: zapcore.InfoLevel, Message: "readiness changed",
		Fields:  []string{"ready", "cause"},
		Meaning: "The readiness that the node reports to the load balancer changed.",
		Action:  noAction,
	}
	DatagramFailed = Definition{
		Number: 907, Level: zapcore.WarnLevel, Message: "datagram failed",
		Fields:  []string{"error", "failures"},
		Meaning: "A message to or from another node could not be sent or read; a later message carries the same state.",
		Action:  noAction,
	}
	HTTPErrorReported = Definition{
		Number: 908, Level: zapcore.WarnLevel, Message: "HTTP error reported",
		Fields:  []string{"error", "count"},
		Meaning: "The HTTP library reported an error of a connection or of its use, such as bytes of a backend server that belong to no response, or a second status for one response. Of such errors, those with numbers 1, 2, 4, 8 and so on are logged; unsolicited responses are counted apart, and their bytes are left out. count is the number so far.",
		Action:  "For a second status or a panic, report a fault of almondbay with the line; otherwise none.",
	}
)

// Events of backend servers and replica groups, logged by nodes on entry VMs.
var (
	HeadsChanged = Definition{
		Number: 951, Level: zapcore.InfoLevel, Message: "heads changed",
		Fields:  []string{"service", "model", "heads", "registryVersion", "steady"},
		Meaning: "The set of backend servers to which requests of a service and model can be sent has changed.",
		Action:  "None, unless heads stays at 0; then check the events of replica groups.",
	}
	GroupPlanned = Definition{
		Number: 952, Level: zapcore.InfoLevel, Message: "replica group planned",
		Fields:  []string{"group", "epoch", "model", "fabricDomain", "members", "term"},
		Meaning: "A group was added to the plan in the store; its members are ordered to join it.",
		Action:  noAction,
	}
	GroupReleased = Definition{
		Number: 953, Level: zapcore.InfoLevel, Message: "replica group released",
		Fields:  []string{"group", "epoch", "model", "reason", "term"},
		Meaning: "A group was removed from the plan in the store; its members are free.",
		Action:  noAction,
	}
	OrderSent = Definition{
		Number: 954, Level: zapcore.InfoLevel, Message: "order given",
		Fields:  []string{"server", "operation", "group", "epoch", "model", "loads", "accepted", "reason", "status", "error"},
		Meaning: "An order was sent to a backend server; status is the status of its answer, 0 for none.",
		Action:  noAction,
	}
	HeadProbed = Definition{
		Number: 955, Level: zapcore.InfoLevel, Message: "head probed",
		Fields:  []string{"server", "group", "registered", "asked", "reached", "refused", "unclear", "witnesses", "left", "missingFor", "unreachableFor", "stopped"},
		Meaning: "A head was probed to find out whether it still has work before its members may join another group. If it is registered, its registration says that it has left the group, which it must confirm; if not, several nodes probe it. asked is the number of nodes that probed it, refused the number of those whose connection its address refused, unclear the number of those to which it reacted in another way, and witnesses the number of those that got no reaction but reached another server of its failure domain. A head counts as stopped once it says that it has left, has started again, or has accepted nothing new for ten seconds.",
		Action:  noAction,
	}
)

// FleetCounted is logged by the node that controls the backend servers of a
// failure domain.
var FleetCounted = Definition{
	Number: 956, Level: zapcore.InfoLevel, Message: "fleet counted",
	Fields:  []string{"fabricDomain", "service", "servers", "leaving", "groups", "idle", "loading", "term"},
	Meaning: "The state of the backend servers of a failure domain: groups lists the numbers of complete (whole) and incomplete (partial) groups of each model; idle lists the number of idle servers that can join a group of a model without loading weights, and as cold the number of those that must load weights first.",
	Action:  "None, unless servers stay idle while groups lack members; then check the events of orders.",
}

// ServerEnded is logged by each node that lost requests by the end of a server.
var ServerEnded = Definition{
	Number: 957, Level: zapcore.WarnLevel, Message: "backend server ended",
	Fields:  []string{"server", "incarnation", "group", "epoch", "proof", "requests", "fingerprints", "parts"},
	Meaning: "A backend server ended, not as planned, while it or its group ran requests of this node; proof tells how the node found out: the server's address refused a connection, it registered with another start time, or its registration lapsed. fingerprints lists the contents of these requests and parts the parts of their prompts, as in event 901.",
	Action:  "Look for a fingerprint or a part that is listed with several servers: it may be what ends them, and event 910 follows.",
}

// Events of what backend servers say in their answers.
var (
	ServerLeaving = Definition{
		Number: 958, Level: zapcore.InfoLevel, Message: "backend server leaving",
		Fields:  []string{"server", "incarnation"},
		Meaning: "A backend server said in an answer to this node that it is about to shut down. The node sends it no new requests until it has restarted and no longer says so (961), whatever its registration says.",
		Action:  noAction,
	}
	ServerPaused = Definition{
		Number: 959, Level: zapcore.InfoLevel, Message: "backend server asked for a pause",
		Fields:  []string{"server", "incarnation", "pause", "count"},
		Meaning: "A backend server rejected a request and asked for no further ones from this node for the time in pause. Of such answers, those with numbers 1, 2, 4, 8 and so on are logged; count is the number so far.",
		Action:  "None, unless requests are rejected because servers asked for pauses; then the servers lack capacity.",
	}
)

// ServerServing is logged by each node that had heard that a server is leaving.
var ServerServing = Definition{
	Number: 961, Level: zapcore.InfoLevel, Message: "backend server not leaving",
	Fields:  []string{"server", "incarnation"},
	Meaning: "A backend server that had said that it is about to shut down (958) has started again, and says no more that it is. The node sends it requests again.",
	Action:  noAction,
}

// LeaseRestored is logged by each node that reads the lease of a failure domain after the store
// came back from an older copy.
var LeaseRestored = Definition{
	Number: 962, Level: zapcore.WarnLevel, Message: "lease read from an older copy of the store",
	Fields:  []string{"fabricDomain", "held", "era", "term", "sequence", "knownSequence"},
	Meaning: "The lease of a failure domain was read from a store that came back from an older copy (303), in which it has the given term and sequence. The node that held it until then (held) writes its lease and its plan again and goes on. If it doesn't, another node acquires the lease after its duration and goes on from the older plan; it adopts the complete groups that it finds, and leaves servers alone that may be in other lost groups.",
	Action:  "If servers of lost groups stay idle, start them again.",
}

// LateReportIgnored is logged by each node that reads a late report.
var LateReportIgnored = Definition{
	Number: 960, Level: zapcore.InfoLevel, Message: "late report of a backend server ignored",
	Fields:  []string{"server", "incarnation", "sequence", "knownIncarnation", "knownSequence", "missing"},
	Meaning: "The store wrote a report of a backend server although a newer one is known: one of a later start (knownIncarnation) or, within a start, of a higher number (knownSequence). missing is set if the server's registration had been removed; it stays so.",
	Action:  "None, unless it goes on for a server for longer than some seconds: then its clock may have been set back between two starts, and it is left alone until it starts again.",
}

// CollectorChosen is logged by a node of a large failure domain.
var CollectorChosen = Definition{
	Number: 909, Level: zapcore.InfoLevel, Message: "collector chosen",
	Fields:  []string{"collector", "previous"},
	Meaning: "The node now reports its loads to another collector of its failure domain, and hears from it of the others; it is empty if the nodes all report to each other.",
	Action:  "None, unless nodes choose different ones for long: compare the events of the nodes of the failure domain, and look for lost datagrams between them.",
}

// Events of requests that crash backend servers.
var (
	RequestQuarantined = Definition{
		Number: 910, Level: zapcore.WarnLevel, Message: "request quarantined",
		Fields:  []string{"fingerprint", "part", "source", "crashes"},
		Meaning: "Backend servers ended under the requests with this fingerprint or, if part is set, with this part in their prompts, and none of these requests was answered in between; the node rejects further ones. crashes lists the replica groups, or the servers of plain services, with the age of what is known; source tells from whom the last of it came: this node itself, a peer, the store, or time that passed without an answer.",
		Action:  "Find the callers by the fingerprint or the part in event 901. The quarantine ends an hour after the last crash (ten minutes for a part), or once a server answers such a request.",
	}
	QuarantineWithdrawn = Definition{
		Number: 911, Level: zapcore.InfoLevel, Message: "quarantine withdrawn",
		Fields:  []string{"fingerprint", "part", "source"},
		Meaning: "A server answered a request with this fingerprint, or with this part in its prompt, so it did not cause the crashes; the node accepts further ones.",
		Action:  noAction,
	}
)

var areas = []area{
	{"Node", []Definition{NodeStarted, NodeListening, NodeDraining, NodeStopped, NodeFailed, StepFailed}},
	{"Certificates", []Definition{CertificateLoaded, CertificateRefused}},
	{"Platform", []Definition{PlatformUnreachable, PlatformReachable, StoreRestored}},
	{"Configuration", []Definition{
		RevisionInForce, RevisionDivergence, DocumentUnreadable, DocumentAccepted, DocumentRefused, DocumentOutcomeUnknown,
	}},
	{"Leases and replica groups", []Definition{LeaseAcquired, LeaseEnded, LeasesNotReleased, GroupChanged, VMChanged, OrderRefused}},
	{"Operators and peers", []Definition{KeyRefused, DrainRequested}},
	{"Scheduling", []Definition{OwnerUnreachable}},
	{"Entry VMs", []Definition{
		RequestEnded, RequestsCounted, ConfigurationInForce, ConfigurationUnreadable, SettingsReloaded, ReadinessChanged, DatagramFailed,
		HTTPErrorReported, CollectorChosen, RequestQuarantined, QuarantineWithdrawn,
	}},
	{"Backend servers", []Definition{HeadsChanged, GroupPlanned, GroupReleased, OrderSent, HeadProbed, FleetCounted, ServerEnded, ServerLeaving, ServerPaused, LateReportIgnored, ServerServing, LeaseRestored}},
}
